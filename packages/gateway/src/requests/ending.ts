/** Ends a request, with what its caller may be told about whether it ran. */
import type { RefusalCode, RetryState, RetryStep } from '@verbenashunt/core';
import type { Choice } from '../routing/selector.js';
import type { AttemptFailure } from './attempt.js';
import type { CrashWatch } from './crash-watch.js';
import type { Delivery } from './delivery.js';
import type { RequestSpec } from './spec.js';

/** How far a request has come. */
export interface RunProgress {
  retryState: RetryState;
  attempts: number;
  /** Targets of the last attempt; undefined before the first. */
  choice: Choice | undefined;
  /** Whether any part of the current attempt may have reached its target. */
  isSent: boolean;
}

export interface EndingDeps {
  delivery: Delivery;
  crashWatch: Pick<CrashWatch, 'findPoison'>;
  progress(): RunProgress;
  /** Ends the attempts; `outcome` is counted. */
  close(outcome: string): void;
}

export interface Ending {
  /** Ends the request by a step other than another attempt. */
  finish(step: RetryStep, failure: AttemptFailure): void;
  /** Ends the request early; `code` is the refusal if it can't have run. */
  giveUp(code: RefusalCode, reason: string): void;
  /** Ends the request if it must not run again because it crashes targets; whether it has to. */
  endIfPoison(): boolean;
}

export function createEnding(spec: RequestSpec, deps: EndingDeps): Ending {
  const { delivery, close, progress } = deps;

  function cutOff(reason: string) {
    close('cut');
    delivery.cutOff(reason);
  }

  function refuse(code: RefusalCode, ran: 'no' | 'unknown', reason: string) {
    close(code);
    delivery.refuse(code, ran, reason, progress().attempts);
  }

  return {
    finish(step, failure) {
      if (step.do === 'cut') {
        cutOff(failure.reason);
      } else if (step.do === 'relay') {
        close('relayed');
        const { choice, attempts } = progress();
        delivery.relayFailure(failure.answer!, { choice: choice!, attempts });
      } else if (step.do === 'refuse') {
        refuse(step.ran === 'no' ? 'overloaded' : 'interrupted', step.ran, failure.reason);
      }
    },
    giveUp(code, reason) {
      const { retryState, isSent } = progress();
      if (delivery.hasStarted) cutOff(reason);
      else if (retryState.ran === 0 && !isSent) refuse(code, 'no', reason);
      else refuse('outcome_unknown', 'unknown', reason);
    },
    endIfPoison() {
      const poison = deps.crashWatch.findPoison(spec);
      if (poison === undefined) return false;
      const reason = `crashes targets by ${poison}`;
      if (delivery.hasStarted) cutOff(reason);
      else if (progress().retryState.ran === 0) refuse('quarantined', 'no', reason);
      else refuse('interrupted', 'unknown', reason);
      return true;
    },
  };
}
