/**
 * HTTP client for the orders of a model engine. An order tells the engine which layers of which
 * model version to load.
 */
import { Client } from 'undici';
import { TargetError } from '@verbenashunt/core';
import { validators, type EngineOrder, type EngineStatus } from '@verbenashunt/schema';

/** Maximum time between sending an order and its effect, in milliseconds. */
export const orderTimeoutMs = 5000;

/** Maximum size of a response in bytes. */
const maxResponseBytes = 1024 * 1024;

export interface EngineOrderClient {
  status(): Promise<EngineStatus>;
  /**
   * Sends an order. Resolves to false if the engine refused its fencing token; rejects with
   * TargetError if the outcome is unknown.
   */
  order(order: EngineOrder): Promise<boolean>;
  close(): Promise<void>;
}

export class HttpEngineOrderClient implements EngineOrderClient {
  readonly #client: Client;

  constructor(url: string) {
    this.#client = new Client(url, {
      headersTimeout: orderTimeoutMs,
      bodyTimeout: orderTimeoutMs,
      maxResponseSize: maxResponseBytes,
    });
  }

  async status() {
    const body = await this.#fetchStatus();
    if (validators.engineStatus(body)) return body;
    throw new TargetError('the engine sent a status that does not match its schema');
  }

  async order(order: EngineOrder) {
    try {
      const res = await this.#client.request({
        method: 'POST', path: '/orders', body: JSON.stringify(order), headers: { 'content-type': 'application/json' },
      });
      await res.body.dump();
      if (res.statusCode < 300 || res.statusCode === 409) return res.statusCode !== 409;
    } catch (err) {
      throw new TargetError('the engine did not respond to an order', { cause: err });
    }
    throw new TargetError('the engine responded to an order with an error');
  }

  async #fetchStatus(): Promise<unknown> {
    try {
      const { body } = await this.#client.request({ method: 'GET', path: '/status' });
      return await body.json();
    } catch (err) {
      throw new TargetError('the engine did not respond to a status request', { cause: err });
    }
  }

  async close() {
    await this.#client.destroy();
  }
}
