/** Client of the platform's table service, object store and VM list. */
import { Pool } from 'undici';
import { ConflictError, PlatformError } from '@verbenashunt/core';
import {
  validators, type Row, type Transaction, type Validator, type Vm,
} from '@verbenashunt/schema';

const defaultTimeoutMs = 2000;
const connectionCount = 8;

export interface PlatformClient {
  /** Reads one row; undefined when absent. */
  get(table: string, key: string): Promise<Row | undefined>;
  /** Reads the rows of a table whose keys start with the prefix, in order of their keys. */
  scan(table: string, prefix: string): Promise<Row[]>;
  /**
   * Writes all or nothing. ConflictError: a condition failed; PlatformError: outcome unknown.
   */
  transact(transaction: Transaction): Promise<void>;
  putObject(key: string, body: string): Promise<void>;
  getObject(key: string): Promise<string | undefined>;
  listVms(): Promise<Vm[]>;
  close(): Promise<void>;
}

/** Creates a client; every call ends within `timeoutMs`. */
export function createPlatformClient(url: string, timeoutMs = defaultTimeoutMs): PlatformClient {
  const pool = new Pool(url, {
    connections: connectionCount, headersTimeout: timeoutMs, bodyTimeout: timeoutMs,
  });

  async function call(method: 'GET' | 'PUT' | 'POST', path: string, body?: string) {
    try {
      const signal = AbortSignal.timeout(timeoutMs);
      const headers = { 'content-type': 'application/json' };
      const res = await pool.request({
        method, path, body: body ?? null, headers, signal,
      });
      return { status: res.statusCode, text: await res.body.text() };
    } catch (err) {
      throw new PlatformError(`${method} ${path} had no answer`, { cause: err });
    }
  }

  function parse<T>(text: string, validator: Validator<T>): T {
    const value: unknown = JSON.parse(text);
    if (validator(value)) return value;
    throw new PlatformError('the platform sent an answer that does not match its schema');
  }

  async function expect(method: 'GET' | 'PUT' | 'POST', path: string, body?: string) {
    const answer = await call(method, path, body);
    if (answer.status === 409) throw new ConflictError(answer.text);
    if (answer.status === 404 || answer.status < 300) return answer;
    throw new PlatformError(`${method} ${path} answered ${answer.status}`);
  }

  const at = (...parts: string[]) => `/${parts.map(encodeURIComponent).join('/')}`;

  return {
    async get(table, key) {
      const { status, text } = await expect('GET', at('tables', table, key));
      return status === 404 ? undefined : parse(text, validators.row);
    },
    async scan(table, prefix) {
      const { text } = await expect('GET', `${at('tables', table)}?prefix=${encodeURIComponent(prefix)}`);
      return parse(text, validators.rows).rows;
    },
    async transact(transaction) {
      await expect('POST', '/transactions', JSON.stringify(transaction));
    },
    async putObject(key, body) {
      await expect('PUT', at('objects', key), body);
    },
    async getObject(key) {
      const { status, text } = await expect('GET', at('objects', key));
      return status === 404 ? undefined : text;
    },
    async listVms() {
      const { text } = await expect('GET', '/vms');
      return parse(text, validators.vmList).vms;
    },
    close: () => pool.close(),
  };
}
