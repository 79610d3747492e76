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
  Exchange, ExchangeHandler, Exchanger, ExchangeStarter,
} from '@verbenashunt/wire';
import type { TargetProtocol } from '../ports.js';
import { toLimitedTarget, type RateLimiter } from './rate-limiter.js';

export interface TargetExchangerDeps {
  log: Logger;
  exchanger: Exchanger;
  protocol: Pick<TargetProtocol, 'announcement'>;
  targets: Pick<TargetTable, 'markDraining'>;
  pauses: TargetPauses;
  rateLimits: TargetRateLimits;
  rateLimiter: Pick<RateLimiter, 'take'>;
}

export interface TargetExchanger {
  /**
   * Starts exchanges with a target. What its answers announce holds for the incarnation given here,
   * which may have left the list by then, or have lost its address to another target.
   */
  to(target: ServingTarget): ExchangeStarter;
  close(): void;
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

export function createTargetExchanger(deps: TargetExchangerDeps): TargetExchanger {
  const {
    log, exchanger, protocol, targets, pauses, rateLimits, rateLimiter,
  } = deps;

  /** Reads the announcements of a target. */
  function recordHead(target: ServingTarget, ...head: Parameters<TargetProtocol['announcement']>) {
    const announcement = protocol.announcement(...head);
    if (!announcement) return;
    const { isLeaving, pauseMs, limitPerS } = announcement;
    const { id, address, startedAt } = target;
    if (rateLimits.record(target, limitPerS)) {
      log.info({ target: id, address, limitPerS }, 'target changed its rate limit');
    }
    if (isLeaving && targets.markDraining(target)) {
      log.info({ target: id, address, startedAt }, 'target says that it is leaving');
    }
    if (pauseMs === 0) return;
    log.info({ target: id, address, pauseMs }, 'target wants a pause');
    pauses.pause(target, pauseMs);
  }

  function startNow(
    target: ServingTarget,
    ...[address, req, handler, options]: Parameters<Exchanger['start']>
  ): Exchange {
    return exchanger.start(address, req, {
      ...handler,
      head(status, headers, isFramed) {
        recordHead(target, status, headers);
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
        exchange = startNow(target, ...exchangeArgs);
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

  function start(target: ServingTarget, ...exchangeArgs: Parameters<Exchanger['start']>): Exchange {
    const [address, , handler] = exchangeArgs;
    if (pauses.isPaused(target)) {
      return failUnsent(handler, new TargetPausedError(`${address} wants no requests for ${Math.ceil(pauses.remainingMs(target))} ms`));
    }
    const limitPerS = rateLimits.limitOf(target);
    if (limitPerS === undefined) return startNow(target, ...exchangeArgs);
    const heldMs = rateLimits.heldMs(target);
    return heldMs > 0
      ? failUnsent(handler, limitedError(target, heldMs))
      : startWithToken(target, limitPerS, ...exchangeArgs);
  }

  return {
    to: (target) => ({ start: (...exchangeArgs) => start(target, ...exchangeArgs) }),
    close: exchanger.close,
  };
}
