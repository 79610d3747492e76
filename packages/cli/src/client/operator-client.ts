/** HTTP client of the operator API. */
import { request } from 'undici';
import { BaseError } from '@verbenashunt/core';

export const OperatorApiError = BaseError.subclass('OperatorApiError', { props: { code: 'operator_api' } });

export interface OperatorResponse {
  status: number;
  body: Record<string, unknown>;
}

export interface OperatorClient {
  get(path: string): Promise<OperatorResponse>;
  post(path: string, body: unknown): Promise<OperatorResponse>;
}

export function createOperatorClient(url: string, key: string): OperatorClient {
  async function call(method: 'GET' | 'POST', path: string, body?: unknown): Promise<OperatorResponse> {
    try {
      const res = await request(`${url}${path}`, {
        method,
        headers: { authorization: `Bearer ${key}`, 'content-type': 'application/json' },
        body: body === undefined ? null : JSON.stringify(body),
      });
      return { status: res.statusCode, body: await res.body.json() as Record<string, unknown> };
    } catch (err) {
      throw new OperatorApiError(`no valid response from ${url}`, { cause: err });
    }
  }
  return {
    get: (path) => call('GET', path),
    post: (path, body) => call('POST', path, body),
  };
}
