/**
 * HTTP client for targets and the platform, with one exchange (request and response) at a time per
 * connection. It reports whether the request of a failed exchange may have been sent, and tells
 * whether a response without a length ended in order or by a connection reset.
 */
import type { IncomingHttpHeaders } from 'node:http';
import { AnswerTooLargeError, TargetError } from '@verbenashunt/core';
import {
  createConnectionPool, type Connection, type ConnectionPoolOptions,
} from './connection-pool.js';
import { isEndMarked } from './http/headers.js';

export interface OutgoingRequest {
  method: string;
  path: string;
  /** Alternating names and values, without hop-by-hop headers and `content-length`. */
  headers: string[];
  body: Buffer | undefined;
}

export interface ExchangeHandler {
  /**
   * The status and headers of the response arrived; informational (1xx) ones are skipped. Without a
   * length or chunked encoding (`isFramed` false) the response ends when the connection closes, so
   * only the server knows whether it was complete.
   */
  head(status: number, headers: IncomingHttpHeaders, isFramed: boolean): void;
  data(chunk: Buffer): void;
  /** The response ended; one without a length or chunked encoding may have been broken off. */
  end(): void;
  /** There was no complete response; `sent` tells whether any of the request may have been sent. */
  failed(err: Error, sent: boolean): void;
}

export interface ExchangeOptions {
  /** Opens a connection for this exchange only and closes it afterwards. */
  dedicatedConnection: boolean;
}

export interface Exchange {
  /** Whether any of the request may have been sent. */
  readonly isSent: boolean;
  /** Aborts the exchange without calling its handler. */
  abort(): void;
}

export interface ExchangeStarter {
  start(
    address: string,
    req: OutgoingRequest,
    handler: ExchangeHandler,
    options: ExchangeOptions,
  ): Exchange;
}

export interface Exchanger extends ExchangeStarter {
  /**
   * Closes the idle connections to an address. To be called when one of them has gone silent, as
   * the others may have as well, which only a timeout shows.
   */
  dropIdle(address: string): void;
  close(): void;
}

/** Lowest status that is not informational. */
const minFinalStatus = 200;
const minStatus = 100;
const maxStatus = 599;

/** Whether a status is one of HTTP's five classes; a parser takes any three digits. */
export const isValidStatus = (status: number) => status >= minStatus && status <= maxStatus;

const statusNoContent = 204;
const statusNotModified = 304;
/** Maximum number of informational (1xx) responses before a response. */
const maxInformational = 16;
/**
 * Maximum number of bytes received besides the body, such as the status line and the chunk headers;
 * as many again as the body has are allowed for its framing.
 */
const maxOverheadBytes = 256 * 1024;
/** Interval in milliseconds at which open exchanges are checked for more than that. */
const overheadCheckMs = 100;
/** Default of the maximum size in bytes of the body of an exchange that is read as a whole. */
const defaultMaxBytes = 8 * 1024 * 1024;

/** Whether a response has no body, so that its headers are all of it. */
const hasNoBody = ({ method }: OutgoingRequest, status: number) => method === 'HEAD'
  || status === statusNoContent || status === statusNotModified;

/** An exchange that fails unsent, after its caller has received it. */
function createFailedExchange(handler: ExchangeHandler, err: Error): Exchange {
  const failing = setImmediate(() => handler.failed(err, false));
  return { isSent: false, abort: () => clearImmediate(failing) };
}

export function createExchanger(options: ConnectionPoolOptions): Exchanger {
  const pool = createConnectionPool(options);
  const overheadChecks = new Set<() => void>();
  // The parser reports neither a status line nor a chunk extension before its end.
  const overheadTimer = setInterval(
    () => overheadChecks.forEach((check) => check()),
    overheadCheckMs,
  ).unref();

  /** Throws if the address is not valid. */
  function connectionFor(address: string, { dedicatedConnection }: ExchangeOptions): Connection {
    return dedicatedConnection ? pool.open(address) : pool.take(address);
  }

  function startOn(
    connection: Connection,
    ...[address, req, handler, { dedicatedConnection }]: Parameters<Exchanger['start']>
  ): Exchange {
    const receivedBefore = connection.socket?.bytesRead ?? 0;
    let isSent = false;
    let isStarting = true;
    let isFinished = false;
    let isFramed = false;
    let informational = 0;
    let bodyBytes = 0;

    /** Ends the exchange; returns false if it had already ended. */
    function finish(canReuse: boolean): boolean {
      if (isFinished) return false;
      isFinished = true;
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual reference
      overheadChecks.delete(checkOverhead);
      if (canReuse && !dedicatedConnection) {
        setImmediate(() => pool.giveBack(address, connection));
      } else pool.destroy(connection);
      return true;
    }

    function fail(err: Error) {
      if (isStarting) {
        // A request that can't be encoded fails before the caller has received the exchange.
        setImmediate(() => fail(err));
        return;
      }
      if (!finish(false)) return;
      const message = `${req.method} ${address} got no complete response`;
      handler.failed(new TargetError(message, { cause: err }), isSent);
    }

    function checkOverhead() {
      const received = (connection.socket?.bytesRead ?? 0) - receivedBefore;
      if (received <= maxOverheadBytes + 2 * bodyBytes) return;
      fail(new TargetError(`${address} sent over ${maxOverheadBytes} bytes besides an answer`));
    }
    overheadChecks.add(checkOverhead);

    connection.client.dispatch({
      method: req.method,
      path: req.path,
      headers: req.headers,
      body: req.body ?? null,
      reset: dedicatedConnection,
    }, {
      onRequestStart() {
        isSent = true;
      },
      onResponseStart(_, status, headers) {
        if (isFinished) return;
        if (!isValidStatus(status)) {
          fail(new TargetError(`${address} sent the status ${status}`));
          return;
        }
        if (status < minFinalStatus) {
          informational += 1;
          if (informational > maxInformational) fail(new TargetError(`${address} sent over ${maxInformational} informational responses`));
          return;
        }
        isFramed = hasNoBody(req, status) || isEndMarked(headers);
        handler.head(status, headers, isFramed);
      },
      onResponseData(_, chunk) {
        bodyBytes += chunk.length;
        if (!isFinished) handler.data(chunk);
      },
      onResponseEnd() {
        if (!isFramed && connection.hasSocketError) {
          fail(new TargetError(`${address} reset the connection during a response without a length`));
        } else if (finish(isFramed)) handler.end();
      },
      onResponseError(_, err) {
        fail(err);
      },
    });
    isStarting = false;
    return {
      get isSent() {
        return isSent;
      },
      abort() {
        finish(false);
      },
    };
  }

  return {
    start(...args) {
      const [address, , handler, exchangeOptions] = args;
      try {
        return startOn(connectionFor(address, exchangeOptions), ...args);
      } catch (err) {
        return createFailedExchange(handler, new TargetError(`${address} can't be connected to`, { cause: err }));
      }
    },
    dropIdle: pool.dropIdle,
    close() {
      clearInterval(overheadTimer);
      pool.close();
    },
  };
}

export interface ExchangeResponse {
  status: number;
  headers: IncomingHttpHeaders;
  body: Buffer;
  /** Whether the end of the body was marked, by a length or chunked encoding. */
  isFramed: boolean;
}

/** Time limits of a body that has begun to arrive, in milliseconds. */
export interface TransferLimits {
  /** Longest pause. */
  pauseMs: number;
  totalMs: number;
}

export interface ExchangeOnceOptions extends ExchangeOptions {
  /** Without limits of its own for the body, the timeout covers the whole response. */
  transfer?: TransferLimits;
  /** Maximum size of the body in bytes; 8 MiB by default. */
  maxBytes?: number;
  /** Aborts the exchange, which then rejects. */
  signal?: AbortSignal;
}

/**
 * Runs an exchange; rejects with TargetError if the response is not complete in time, and with
 * AnswerTooLargeError if its body is larger than `maxBytes`.
 */
export const exchangeOnce = (
  exchanger: ExchangeStarter,
  address: string,
  req: OutgoingRequest,
  timeoutMs: number,
  options: ExchangeOnceOptions = { dedicatedConnection: false },
) => new Promise<ExchangeResponse>((resolve, reject) => {
  const { maxBytes = defaultMaxBytes } = options;
  const chunks: Buffer[] = [];
  let size = 0;
  let head: Omit<ExchangeResponse, 'body'> | undefined;
  let timer: NodeJS.Timeout;
  let transferEndsAt = Infinity;
  /* eslint-disable @typescript-eslint/no-use-before-define -- each refers to the other */
  function settle() {
    clearTimeout(timer);
    options.signal?.removeEventListener('abort', onAbort);
  }
  function abort(err: Error) {
    settle();
    exchange.abort();
    reject(err);
  }
  const onAbort = () => abort(new TargetError(`${req.method} ${address}${req.path} was aborted`));
  function startTimer(ms: number) {
    clearTimeout(timer);
    timer = setTimeout(
      () => abort(new TargetError(`${req.method} ${address}${req.path} got no complete response in ${Math.round(ms)} ms`)),
      ms,
    );
  }
  function extendTime({ pauseMs, totalMs }: TransferLimits) {
    const now = performance.now();
    transferEndsAt = Math.min(transferEndsAt, now + totalMs);
    startTimer(Math.min(pauseMs, transferEndsAt - now));
  }
  const exchange = exchanger.start(address, req, {
    head(status, headers, isFramed) {
      head = { status, headers, isFramed };
    },
    data(chunk) {
      size += chunk.length;
      chunks.push(chunk);
      if (size > maxBytes) abort(new AnswerTooLargeError(`${address} sent a body of over ${maxBytes} bytes`));
      else if (options.transfer) extendTime(options.transfer);
    },
    end() {
      settle();
      resolve({ ...head!, body: Buffer.concat(chunks) });
    },
    failed(err) {
      settle();
      reject(err);
    },
  }, options);
  /* eslint-enable @typescript-eslint/no-use-before-define */
  startTimer(timeoutMs);
  if (options.signal?.aborted) onAbort();
  else options.signal?.addEventListener('abort', onAbort);
});
