/** Moves a running stream to another chain when a stage of its chain is dead or draining. */
import { BaseError, type Clock } from '@verbenashunt/core';
import { exchangeOnce } from '@verbenashunt/wire';
import type { Choice, Selector } from '../routing/selector.js';
import type { AttemptDeps } from './attempt.js';
import type { AttemptProgress, CrashWatch } from './crash-watch.js';
import type { RequestLog } from './request-log.js';
import type { RequestSpec } from './spec.js';

/** What rerouting needs of a stream. */
export interface ReroutedStream {
  spec: RequestSpec;
  /** Ids of targets that must not be chosen. */
  avoid: Set<string>;
  /** The chain in use; undefined once the attempt is over. */
  choice(): Choice | undefined;
  /** Whether a new attempt could continue it on a chain within one zone, without these targets. */
  canResume(without: ReadonlySet<string>): boolean;
  /** How far the attempt at this chain has come. */
  attemptProgress(): AttemptProgress;
  /** Ends the attempt, so that the stream is resumed elsewhere; `blamed` is an address. */
  abandon(reason: string, blamed: string): void;
  /** Called when it continues over another chain with the same first target. */
  rerouted(next: Choice): void;
}

export interface RerouteDeps extends AttemptDeps {
  clock: Clock;
  random: () => number;
  log: RequestLog;
  selector: Selector;
  crashWatch: CrashWatch;
}

export interface Rerouter {
  /** Reroutes the stream, which waits for the dead target at an address. */
  stalledBy(address: string): void;
  /** Reroutes the stream if a target of its chain is draining or no longer listed. */
  moveIfDraining(): void;
}

/** Shortest time before streams are moved away from a draining target, in milliseconds. */
const moveDelayMs = 600;
/** Time over which moves are spread, so that not all streams are prefilled again at once. */
const moveSpreadMs = 900;
/** Time limit in milliseconds of the call that tells the first target to use another chain. */
const repathTimeoutMs = 500;

interface RerouteCause {
  /** Id of the target at fault; undefined if no target has its address. */
  culprit: string | undefined;
  address: string;
  reason: string;
}

export function createRerouter(stream: ReroutedStream, deps: RerouteDeps): Rerouter {
  const { clock, log, selector } = deps;
  const { spec, avoid } = stream;
  let isRerouting = false;
  /** When to move the stream off a draining target; undefined without one, Infinity once tried. */
  let moveAt: number | undefined;

  /**
   * A new stage needs all tokens so far. If they would have to cross zones, which would saturate
   * the link, the stream is resumed on a chain within one zone, which prefills them again.
   */
  async function reroute({ culprit, address, reason }: RerouteCause) {
    const from = stream.choice();
    if (!from) return;
    if (culprit !== undefined) avoid.add(culprit);
    const next = culprit === from.target.id ? undefined : selector.reroute(spec, from, avoid);
    if ((!next || !selector.isInSingleZone(next)) && stream.canResume(avoid)) {
      stream.abandon(`${reason} and its zone has no replacement`, address);
      return;
    }
    if (!next) return;
    const { status } = await exchangeOnce(
      deps.exchanger.to(next.target),
      next.target.address,
      deps.protocol.repathRequest(next.target, spec.caller.id, next.chain!, undefined),
      repathTimeoutMs,
      // A late copy of an earlier answer would be taken for the result, as it names no request.
      { dedicatedConnection: true },
    );
    const result = deps.protocol.orderResult(status);
    log.info({
      req: spec.caller.id, culprit, reason, status, result,
    }, 'stream rerouted');
    const isApplied = result === 'begun' || result === 'done';
    if (isApplied && stream.choice() === from) stream.rerouted(next);
  }

  function start(cause: RerouteCause) {
    if (isRerouting) return;
    isRerouting = true;
    reroute(cause).catch((err) => {
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
        // Recorded once per stage, as the same stall is reported repeatedly.
        if (!avoid.has(target.id)) {
          deps.crashWatch.lost(spec, target, stream.attemptProgress(), () => {});
        }
      }
      start({ culprit: target?.id, address, reason: 'a stage is dead' });
    },
    moveIfDraining() {
      const choice = stream.choice();
      const draining = choice?.chain && selector.findDraining(choice);
      if (!draining) {
        moveAt = undefined;
        return;
      }
      const now = clock.now();
      moveAt ??= now + moveDelayMs + deps.random() * moveSpreadMs;
      if (now < moveAt) return;
      moveAt = Infinity;
      start({ culprit: draining.id, address: draining.address, reason: 'a stage is draining' });
    },
  };
}
