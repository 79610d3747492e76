/** Client for the platform's table service, object store and VM list. */
import { Pool } from 'undici';
import { ConflictError, PlatformError, PlatformRateError } from '@verbenashunt/core';
import {
  validators, type Row, type Transaction, type Validator, type Vm,
} from '@verbenashunt/schema';
import { isEndMarked } from './http/headers.js';

const defaultTimeoutMs = 2000;
const maxConnections = 8;
const maxResponseBytes = 64 * 1024 * 1024;

const statusNotFound = 404;
const statusConflict = 409;
const statusTooManyRequests = 429;

export interface PlatformClient {
  /** Reads one row; undefined if it does not exist. */
  get(table: string, key: string): Promise<Row | undefined>;
  /** Reads the rows whose keys start with the prefix, in key order. */
  scan(table: string, prefix: string): Promise<Row[]>;
  /**
   * Writes atomically. Rejects with ConflictError if a condition failed, PlatformRateError if
   * nothing was written, or another PlatformError if the outcome is unknown.
   */
  transact(transaction: Transaction): Promise<void>;
  putObject(key: string, body: string): Promise<void>;
  getObject(key: string): Promise<string | undefined>;
  listVms(): Promise<Vm[]>;
  close(): Promise<void>;
}

const isSuccess = (status: number) => status >= 200 && status < 300;

export interface PlatformClientOptions {
  /** Every call settles within this time in milliseconds. */
  timeoutMs?: number;
  /** Called when the number of entries of the VM list that are ignored as invalid has changed. */
  onInvalidVms?(count: number): void;
}

/** One odd entry of another writer must not hide the other VMs. */
const isValidVm = (vm: unknown): vm is Vm => validators.vm(vm);

export function createPlatformClient(
  url: string,
  { timeoutMs = defaultTimeoutMs, onInvalidVms }: PlatformClientOptions = {},
): PlatformClient {
  let invalidVms = 0;
  const pool = new Pool(url, {
    connections: maxConnections,
    headersTimeout: timeoutMs,
    bodyTimeout: timeoutMs,
    maxResponseSize: maxResponseBytes,
  });

  async function send(method: 'GET' | 'PUT' | 'POST', path: string, body?: string) {
    try {
      const signal = AbortSignal.timeout(timeoutMs);
      const headers = { 'content-type': 'application/json' };
      const res = await pool.request({
        method, path, body: body ?? null, headers, signal,
      });
      return {
        status: res.statusCode, text: await res.body.text(), isFramed: isEndMarked(res.headers),
      };
    } catch (err) {
      throw new PlatformError(`${method} ${path} got no response from the platform`, { cause: err });
    }
  }

  function parseResponse<T>(text: string, validator: Validator<T>): T {
    let value: unknown;
    try {
      value = JSON.parse(text);
    } catch (err) {
      throw new PlatformError('the response from the platform is not valid JSON', { cause: err });
    }
    if (validator(value)) return value;
    throw new PlatformError('the response from the platform does not match its schema');
  }

  /** Resolves to a successful response; undefined if the resource does not exist. */
  async function read(path: string) {
    const response = await send('GET', path);
    const { status } = response;
    if (status === statusNotFound) return undefined;
    if (status === statusTooManyRequests) throw new PlatformRateError(`GET ${path} exceeds the platform's rate limit`);
    if (isSuccess(status)) return response;
    throw new PlatformError(`GET ${path} failed with status ${status}`);
  }

  async function write(method: 'PUT' | 'POST', path: string, body: string): Promise<void> {
    const { status, text } = await send(method, path, body);
    if (status === statusConflict) throw new ConflictError(text);
    if (status === statusTooManyRequests) throw new PlatformRateError(`${method} ${path} exceeds the platform's rate limit`);
    if (!isSuccess(status)) throw new PlatformError(`${method} ${path} failed with status ${status}`);
  }

  const pathOf = (...parts: string[]) => `/${parts.map(encodeURIComponent).join('/')}`;

  return {
    async get(table, key) {
      const response = await read(pathOf('tables', table, key));
      return response && parseResponse(response.text, validators.row);
    },
    async scan(table, prefix) {
      const response = await read(`${pathOf('tables', table)}?prefix=${encodeURIComponent(prefix)}`);
      return response ? parseResponse(response.text, validators.rows).rows : [];
    },
    transact: (transaction) => write('POST', '/transactions', JSON.stringify(transaction)),
    putObject: (key, body) => write('PUT', pathOf('objects', key), body),
    async getObject(key) {
      const response = await read(pathOf('objects', key));
      if (response && !response.isFramed) throw new PlatformError(`object ${key} came without a length or chunks`);
      return response?.text;
    },
    async listVms() {
      const response = await read('/vms');
      const { vms } = parseResponse(response?.text ?? '', validators.vmList);
      const valid = vms.filter(isValidVm);
      const count = vms.length - valid.length;
      if (count !== invalidVms) onInvalidVms?.(count);
      invalidVms = count;
      return valid;
    },
    close: () => pool.close(),
  };
}
