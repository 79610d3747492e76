/**
 * HTTP exchanges with targets and the platform, one at a time on a connection, that tell what is
 * known of a failed one: whether the request left, and whether an answer without a length was
 * reset or ended.
 */
import type { IncomingHttpHeaders } from 'node:http';
import type { Socket } from 'node:net';
import { buildConnector, Client } from 'undici';
import { TargetError } from '@verbenashunt/core';

export interface OutgoingRequest {
  method: string;
  path: string;
  /** Names and values in turn; without those of one connection and the length. */
  headers: string[];
  body: Buffer | undefined;
}

export interface ExchangeHandler {
  head(status: number, headers: IncomingHttpHeaders): void;
  data(chunk: Buffer): void;
  /**
   * The answer is complete. One that isn't framed ended with its connection, so that only its peer
   * knows whether it was whole.
   */
  end(isFramed: boolean): void;
  /** No complete answer came; `sent` tells whether any of the request may have left. */
  failed(err: Error, sent: boolean): void;
}

export interface ExchangeOptions {
  /** Opens a connection for this exchange alone and closes it afterwards. */
  fresh: boolean;
}

export interface Exchange {
  /** Whether any of the request may have left. */
  readonly isSent: boolean;
  /** Breaks the exchange off without a call to its handler. */
  abort(): void;
}

export interface Exchanger {
  start(
    address: string,
    req: OutgoingRequest,
    handler: ExchangeHandler,
    options: ExchangeOptions,
  ): Exchange;
  close(): void;
}

export interface ExchangerOptions {
  connectTimeoutMs: number;
  /** Idle time after which a kept connection isn't used again, where its peer names none. */
  keepAliveMs: number;
}

/** Margin by which a connection is given up before its peer says that it closes it. */
const keepAliveMarginMs = 1000;
/** Idle connections kept to one address. */
const maxIdlePerAddress = 4;
/** Interval of the kernel's probes on an idle connection. */
const probeIntervalMs = 1000;

interface Connection {
  client: Client;
  /** The socket ended by an error and not in order. */
  isReset: boolean;
  isClosed: boolean;
}

export function createExchanger({ connectTimeoutMs, keepAliveMs }: ExchangerOptions): Exchanger {
  const connect = buildConnector({
    timeout: connectTimeoutMs, keepAlive: true, keepAliveInitialDelay: probeIntervalMs,
  });
  const idle = new Map<string, Connection[]>();
  const open = new Set<Connection>();

  function openConnection(address: string): Connection {
    const connection: Connection = {
      isReset: false,
      isClosed: false,
      client: new Client(`http://${address}`, {
        pipelining: 1,
        headersTimeout: 0,
        bodyTimeout: 0,
        keepAliveTimeout: keepAliveMs,
        keepAliveTimeoutThreshold: keepAliveMarginMs,
        connect(options, callback) {
          connect(options, (...[err, socket]: [Error, null] | [null, Socket]) => {
            // Before the client's own listener, which takes a reset for the end of an answer.
            socket?.once('error', () => {
              connection.isReset = true;
            });
            if (err) callback(err, null);
            else callback(null, socket);
          });
        },
      }),
    };
    open.add(connection);
    connection.client.on('disconnect', () => {
      connection.isClosed = true;
    });
    return connection;
  }

  function drop(connection: Connection) {
    open.delete(connection);
    connection.client.destroy().catch(() => {
      // Nothing is lost with a connection that is given up.
    });
  }

  function takeIdle(address: string): Connection | undefined {
    const list = idle.get(address) ?? [];
    const connection = list.pop();
    if (!connection) return undefined;
    if (!connection.isClosed) return connection;
    drop(connection);
    return takeIdle(address);
  }

  function keep(address: string, connection: Connection) {
    const list = idle.get(address) ?? [];
    if (connection.isClosed || list.length >= maxIdlePerAddress) {
      drop(connection);
      return;
    }
    list.push(connection);
    idle.set(address, list);
  }

  return {
    start(address, req, handler, { fresh }) {
      const connection = (fresh ? undefined : takeIdle(address)) ?? openConnection(address);
      let isSent = false;
      let isOver = false;
      let hasLength = false;

      /** Ends the exchange; false when it had ended before. */
      function finish(canKeep: boolean): boolean {
        if (isOver) return false;
        isOver = true;
        if (canKeep && !fresh) setImmediate(() => keep(address, connection));
        else drop(connection);
        return true;
      }

      function fail(err: Error) {
        if (!finish(false)) return;
        const cause = `${req.method} ${address} had no complete answer`;
        handler.failed(new TargetError(cause, { cause: err }), isSent);
      }

      connection.client.dispatch({
        method: req.method,
        path: req.path,
        headers: req.headers,
        body: req.body ?? null,
        reset: fresh,
      }, {
        onRequestStart() {
          isSent = true;
        },
        onResponseStart(_, status, headers) {
          if (isOver || status < 200) return;
          hasLength = 'content-length' in headers || 'transfer-encoding' in headers;
          handler.head(status, headers);
        },
        onResponseData(_, chunk) {
          if (!isOver) handler.data(chunk);
        },
        onResponseEnd() {
          if (!hasLength && connection.isReset) {
            fail(new TargetError(`${address} reset an answer that has no length`));
          } else if (finish(hasLength)) handler.end(hasLength);
        },
        onResponseError(_, err) {
          fail(err);
        },
      });
      return {
        get isSent() {
          return isSent;
        },
        abort() {
          finish(false);
        },
      };
    },
    close: () => [...open].forEach(drop),
  };
}

/** A whole answer. */
export interface ExchangeAnswer {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
}

/** An exchange that ends within `timeoutMs`; rejects with TargetError when no whole answer came. */
export const exchangeOnce = (
  exchanger: Exchanger,
  address: string,
  req: OutgoingRequest,
  timeoutMs: number,
) => new Promise<ExchangeAnswer>((resolve, reject) => {
  const chunks: Buffer[] = [];
  let head: Omit<ExchangeAnswer, 'body'> | undefined;
  let timer: NodeJS.Timeout;
  const exchange = exchanger.start(address, req, {
    head(status, headers) {
      head = { status, headers };
    },
    data: (chunk) => chunks.push(chunk),
    end() {
      clearTimeout(timer);
      resolve({ ...head!, body: Buffer.concat(chunks) });
    },
    failed(err) {
      clearTimeout(timer);
      reject(err);
    },
  }, { fresh: false });
  timer = setTimeout(() => {
    exchange.abort();
    reject(new TargetError(`${req.method} ${address}${req.path} had no answer in ${timeoutMs} ms`));
  }, timeoutMs);
});
