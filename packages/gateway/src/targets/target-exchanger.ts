/**
 * Exchanger for targets. It reads what a target announces about itself in the headers of any
 * response, that it is leaving or wants a pause, and sends nothing to a target that wants a pause.
 */
import type { Logger } from 'pino';
import {
  TargetPausedError, type TargetPauses, type TargetRateLimits, type TargetTable,
} from '@verbenashunt/core';
import type {
  Exchange, ExchangeHandler, Exchanger, ExchangeOptions, OutgoingRequest,
} from '@verbenashunt/wire';
import type { TargetProtocol } from '../ports.js';

export interface TargetExchangerDeps {
  log: Logger;
  exchanger: Exchanger;
  protocol: Pick<TargetProtocol, 'head'>;
  targets: TargetTable;
  pauses: TargetPauses;
  rateLimits: TargetRateLimits;
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

export function createTargetExchanger(deps: TargetExchangerDeps): Exchanger {
  const {
    log, exchanger, protocol, targets, pauses, rateLimits,
  } = deps;

  /** Reads the announcements of the target at an address. */
  function recordHead(address: string, ...head: Parameters<TargetProtocol['head']>) {
    const { isLeaving, pauseMs, limitPerS } = protocol.head(...head);
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

  function start(
    address: string,
    req: OutgoingRequest,
    handler: ExchangeHandler,
    options: ExchangeOptions,
  ): Exchange {
    const target = targets.byAddress(address);
    if (target && pauses.isPaused(target)) {
      return failUnsent(handler, new TargetPausedError(`${address} wants no requests for ${Math.ceil(pauses.remainingMs(target))} ms`));
    }
    return exchanger.start(address, req, {
      ...handler,
      head(status, headers) {
        recordHead(address, status, headers);
        handler.head(status, headers);
      },
    }, options);
  }

  return { start, close: exchanger.close };
}
