/** Client of the platform's table service, object store and VM list. */
import { Pool } from 'undici';
import { ConflictError, PlatformError, PlatformRateError } from '@verbenashunt/core';
import {
  validators, type Row, type Transaction, type Validator, type Vm,
} from '@verbenashunt/schema';

const defaultTimeoutMs = 2000;
const connectionCount = 8;
const maxAnswerBytes = 64 * 1024 * 1024;

const statusNotFound = 404;
const statusConflict = 409;
const statusTooManyRequests = 429;

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

const isSuccess = (status: number) => status >= 200 && status < 300;

/** Creates a client; every call ends within `timeoutMs`. */
export function createPlatformClient(url: string, timeoutMs = defaultTimeoutMs): PlatformClient {
  const pool = new Pool(url, {
    connections: connectionCount,
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
    maxResponseSize: maxAnswerBytes,
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
    let value: unknown;
    try {
      value = JSON.parse(text);
    } catch (err) {
      throw new PlatformError('the platform sent an answer that is not JSON', { cause: err });
    }
    if (validator(value)) return value;
    throw new PlatformError('the platform sent an answer that does not match its schema');
  }

  /** The text of an answer of success; undefined when what was read is absent. */
  async function read(path: string): Promise<string | undefined> {
    const { status, text } = await call('GET', path);
    if (status === statusNotFound) return undefined;
    if (status === statusTooManyRequests) throw new PlatformRateError(`GET ${path} is over the platform's rate`);
    if (isSuccess(status)) return text;
    throw new PlatformError(`GET ${path} answered ${status}`);
  }

  async function write(method: 'PUT' | 'POST', path: string, body: string): Promise<void> {
    const { status, text } = await call(method, path, body);
    if (status === statusConflict) throw new ConflictError(text);
    if (status === statusTooManyRequests) throw new PlatformRateError(`${method} ${path} is over the platform's rate`);
    if (!isSuccess(status)) throw new PlatformError(`${method} ${path} answered ${status}`);
  }

  const at = (...parts: string[]) => `/${parts.map(encodeURIComponent).join('/')}`;

  return {
    async get(table, key) {
      const text = await read(at('tables', table, key));
      return text === undefined ? undefined : parse(text, validators.row);
    },
    async scan(table, prefix) {
      const text = await read(`${at('tables', table)}?prefix=${encodeURIComponent(prefix)}`);
      return text === undefined ? [] : parse(text, validators.rows).rows;
    },
    transact: (transaction) => write('POST', '/transactions', JSON.stringify(transaction)),
    putObject: (key, body) => write('PUT', at('objects', key), body),
    getObject: (key) => read(at('objects', key)),
    async listVms() {
      const text = await read('/vms');
      return parse(text ?? '', validators.vmList).vms;
    },
    close: () => pool.close(),
  };
}
