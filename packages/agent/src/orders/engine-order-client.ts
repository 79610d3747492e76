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
  readonly #statusClient: Client;

  /** Opens a connection for each order, on which no late answer to an earlier one can arrive. */
  readonly #orderClient: Client;

  constructor(url: string) {
    const options = {
      headersTimeout: orderTimeoutMs,
      bodyTimeout: orderTimeoutMs,
      maxResponseSize: maxResponseBytes,
    };
    this.#statusClient = new Client(url, options);
    this.#orderClient = new Client(url, options);
  }

  async status() {
    const body = await this.#fetchStatus();
    if (validators.engineStatus(body)) return body;
    throw new TargetError('the engine sent a status that does not match its schema');
  }

  async order(order: EngineOrder) {
    try {
      const res = await this.#orderClient.request({
        method: 'POST', path: '/orders', body: JSON.stringify(order), headers: { 'content-type': 'application/json' }, reset: true,
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
      const { body } = await this.#statusClient.request({ method: 'GET', path: '/status' });
      return await body.json();
    } catch (err) {
      throw new TargetError('the engine did not respond to a status request', { cause: err });
    }
  }

  async close() {
    await Promise.all([this.#statusClient.destroy(), this.#orderClient.destroy()]);
  }
}
