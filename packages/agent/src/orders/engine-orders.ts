/** The order interface of a model engine over HTTP. */
import { Client } from 'undici';
import { TargetError } from '@verbenashunt/core';
import { validators, type EngineOrder, type EngineStatus } from '@verbenashunt/schema';

/** Longest time that an order may be on its way and take effect, in milliseconds. */
export const orderTimeoutMs = 5000;

export interface EngineOrders {
  status(): Promise<EngineStatus>;
  /** Gives an order; false when the engine refused its fencing number. TargetError: not known. */
  order(order: EngineOrder): Promise<boolean>;
  close(): Promise<void>;
}

export class HttpEngineOrders implements EngineOrders {
  readonly #client: Client;

  constructor(url: string) {
    this.#client = new Client(url, { headersTimeout: orderTimeoutMs, bodyTimeout: orderTimeoutMs });
  }

  async status() {
    const found = await this.#read();
    if (validators.engineStatus(found)) return found;
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
      throw new TargetError('the engine did not answer an order', { cause: err });
    }
    throw new TargetError('the engine did not take an order');
  }

  async #read(): Promise<unknown> {
    try {
      const { body } = await this.#client.request({ method: 'GET', path: '/status' });
      return await body.json();
    } catch (err) {
      throw new TargetError('the engine did not answer', { cause: err });
    }
  }

  async close() {
    await this.#client.destroy();
  }
}
