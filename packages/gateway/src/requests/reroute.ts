/** Sends the rest of a running stream round a stage that is dead or leaves. */
import { BaseError, type Clock } from '@verbenashunt/core';
import { exchangeOnce } from '@verbenashunt/wire';
import type { Choice, Selector } from '../routing/selector.js';
import type { AttemptDeps } from './attempt.js';
import type { CrashWatch } from './crash-watch.js';
import type { RequestLog } from './request-log.js';
import type { RequestSpec } from './spec.js';

/** A stream as far as rerouting touches it. */
export interface ReroutedStream {
  spec: RequestSpec;
  /** Targets that are not to be chosen. */
  avoid: Set<string>;
  /** The chain in use; undefined once the attempt is over. */
  choice(): Choice | undefined;
  /** Whether it could go on as a new attempt, on another chain inside one zone. */
  canResume(without: ReadonlySet<string>): boolean;
  /** Gives up the attempt, so that the stream is resumed elsewhere. */
  abandon(reason: string, blamed: string): void;
  /** From now on it passes through another chain with the same first target. */
  moved(next: Choice): void;
}

export interface RerouteDeps extends AttemptDeps {
  clock: Clock;
  random: () => number;
  log: RequestLog;
  selector: Selector;
  crashes: CrashWatch;
}

export interface Rerouter {
  /** The stream waits for the target at an address. */
  stalledBy(address: string): void;
  /** Moves the stream away from a target that will be gone before long. */
  moveIfLeaving(): void;
}

/** Time from the notice that a target leaves until streams are moved away from it, at the least. */
const moveAfterMs = 600;
/** Time over which streams are moved away, so that not all are read anew at once. */
const moveSpreadMs = 900;
/** Time for a target to answer the order to send a request over another chain. */
const repathTimeoutMs = 500;

interface Trouble {
  /** Target at fault; undefined where its address is not known. */
  culprit: string | undefined;
  address: string;
  reason: string;
}

export function createRerouter(stream: ReroutedStream, deps: RerouteDeps): Rerouter {
  const { clock, log, selector } = deps;
  const { spec, avoid } = stream;
  let isRerouting = false;
  /** When this stream is to be moved away from a target that leaves. */
  let moveAt: number | undefined;

  /**
   * All tokens so far have to pass to a new stage; where they would fill the pipe between zones,
   * another chain reads them anew.
   */
  async function reroute({ culprit, address, reason }: Trouble) {
    const from = stream.choice();
    if (!from) return;
    if (culprit !== undefined) avoid.add(culprit);
    const next = culprit === from.target.id ? undefined : selector.reroute(spec, from, avoid);
    if ((!next || !selector.isInSingleZone(next)) && stream.canResume(avoid)) {
      stream.abandon(`${reason} and its zone has no other`, address);
      return;
    }
    if (!next) return;
    const { status } = await exchangeOnce(
      deps.exchanger,
      next.target.address,
      deps.protocol.repathRequest(next.target, spec.caller.id, next.chain!, undefined),
      repathTimeoutMs,
    );
    const result = deps.protocol.orderResult(status);
    log.info({
      req: spec.caller.id, culprit, reason, status, result,
    }, 'stream rerouted');
    const isInForce = result === 'begun' || result === 'done';
    if (isInForce && stream.choice() === from) stream.moved(next);
  }

  function start(trouble: Trouble) {
    if (isRerouting) return;
    isRerouting = true;
    reroute(trouble).catch((err) => {
      log.info({ req: spec.caller.id, err: BaseError.normalize(err).message }, 'stream not rerouted');
    }).finally(() => {
      isRerouting = false;
    });
  }

  return {
    stalledBy(address) {
      const target = selector.targetAt(spec.service, address);
      if (target) {
        selector.recordFailure(target.id);
        // Once for each stage: a stream that waits is asked after again and again.
        if (!avoid.has(target.id)) deps.crashes.lost(spec, target);
      }
      start({ culprit: target?.id, address, reason: 'a stage is dead' });
    },
    moveIfLeaving() {
      const choice = stream.choice();
      const leaving = choice?.chain && selector.findDraining(choice);
      if (!leaving) {
        moveAt = undefined;
        return;
      }
      const now = clock.now();
      moveAt ??= now + moveAfterMs + deps.random() * moveSpreadMs;
      if (now < moveAt) return;
      moveAt = Infinity;
      start({ culprit: leaving.id, address: leaving.address, reason: 'a stage is leaving' });
    },
  };
}
