/**
 * Exchanger for targets. It reads what a target announces about itself in the headers of any
 * response: that it is leaving, wants a pause or limits its rate. It sends nothing to a target that
 * wants a pause, and takes a token for each request to one that limits its rate.
 */
import type { Logger } from 'pino';
import {
  TargetLimitedError, TargetPausedError,
  type ServingTarget, type TargetPauses, type TargetRateLimits, type TargetTable,
} from '@verbenashunt/core';
import type {
  Exchange, ExchangeHandler, Exchanger, ExchangeOptions, OutgoingRequest,
} from '@verbenashunt/wire';
import type { TargetProtocol } from '../ports.js';
import { toLimitedTarget, type RateLimiter } from './rate-limiter.js';

export interface TargetExchangerDeps {
  log: Logger;
  exchanger: Exchanger;
  protocol: Pick<TargetProtocol, 'announcement'>;
  targets: TargetTable;
  pauses: TargetPauses;
  rateLimits: TargetRateLimits;
  rateLimiter: Pick<RateLimiter, 'take'>;
}

/** Fails an exchange without sending anything, after the caller has received its handle. */
function failUnsent(handler: ExchangeHandler, err: Error): Exchange {
  let isAborted = false;
  setImmediate(() => {
    if (!isAborted) handler.failed(err, false);
  });
  return {
    isSent: false,
    abort() {
      isAborted = true;
    },
  };
}

const limitedError = ({ address }: ServingTarget, waitMs: number) => new TargetLimitedError(
  `${address} takes no further request for ${Math.ceil(waitMs)} ms`,
);

export function createTargetExchanger(deps: TargetExchangerDeps): Exchanger {
  const {
    log, exchanger, protocol, targets, pauses, rateLimits, rateLimiter,
  } = deps;

  /** Reads the announcements of the target at an address. */
  function recordHead(address: string, ...head: Parameters<TargetProtocol['announcement']>) {
    const { isLeaving, pauseMs, limitPerS } = protocol.announcement(...head);
    const target = targets.byAddress(address);
    if (!target) return;
    if (rateLimits.record(target, limitPerS)) {
      log.info({ target: target.id, address, limitPerS }, 'target changed its rate limit');
    }
    if (isLeaving && targets.markDraining(target.id)) {
      log.info({ target: target.id, address }, 'target says that it is leaving');
    }
    if (pauseMs === 0) return;
    log.info({ target: target.id, address, pauseMs }, 'target wants a pause');
    pauses.pause(target, pauseMs);
  }

  function startNow(
    address: string,
    req: OutgoingRequest,
    handler: ExchangeHandler,
    options: ExchangeOptions,
  ): Exchange {
    return exchanger.start(address, req, {
      ...handler,
      head(status, headers, isFramed) {
        recordHead(address, status, headers);
        handler.head(status, headers, isFramed);
      },
    }, options);
  }

  /** Starts an exchange once a token was taken for it; fails it unsent if there is none now. */
  function startWithToken(
    target: ServingTarget,
    limitPerS: number,
    ...exchangeArgs: Parameters<Exchanger['start']>
  ): Exchange {
    const [, , handler] = exchangeArgs;
    let exchange: Exchange | undefined;
    let isAborted = false;

    function onToken(waitMs: number) {
      if (isAborted) return;
      if (waitMs === 0) {
        exchange = startNow(...exchangeArgs);
        return;
      }
      rateLimits.hold(target, waitMs);
      handler.failed(limitedError(target, waitMs), false);
    }

    rateLimiter.take(toLimitedTarget(target, limitPerS)).then(onToken);
    return {
      get isSent() {
        return exchange?.isSent ?? false;
      },
      abort() {
        isAborted = true;
        exchange?.abort();
      },
    };
  }

  function start(...exchangeArgs: Parameters<Exchanger['start']>): Exchange {
    const [address, , handler] = exchangeArgs;
    const target = targets.byAddress(address);
    if (target && pauses.isPaused(target)) {
      return failUnsent(handler, new TargetPausedError(`${address} wants no requests for ${Math.ceil(pauses.remainingMs(target))} ms`));
    }
    const limitPerS = target && rateLimits.limitOf(target);
    if (!target || limitPerS === undefined) return startNow(...exchangeArgs);
    const heldMs = rateLimits.heldMs(target);
    return heldMs > 0
      ? failUnsent(handler, limitedError(target, heldMs))
      : startWithToken(target, limitPerS, ...exchangeArgs);
  }

  return { start, dropIdle: exchanger.dropIdle, close: exchanger.close };
}
