/** An agent's decisions to admit, refuse or fence a call. */

/** State that an agent keeps of a call; `fenced` means that it never ran and never will. */
export type CallState = 'running' | 'done' | 'failed' | 'fenced';

export interface AdmissionContext {
  /** Incarnation that the call is addressed to. */
  expectedIncarnation: number;
  /** Incarnation of this process. */
  incarnation: number;
  admitting: boolean;
  /** Configuration revision of the sender. */
  revision: number;
  /** Configuration revision of this process. */
  ownRevision: number;
  active: number;
  maxActive: number;
}

/** Returns why a call is refused, or undefined to admit it. A known call is never run again. */
export function callRefusalCode(
  known: CallState | undefined,
  ctx: AdmissionContext,
): string | undefined {
  if (ctx.expectedIncarnation !== ctx.incarnation) return 'old_incarnation';
  if (known) return known === 'fenced' ? 'fenced' : 'duplicate';
  if (!ctx.admitting) return 'draining';
  if (ctx.revision < ctx.ownRevision) return 'stale_config';
  return ctx.active >= ctx.maxActive ? 'busy' : undefined;
}

/** State after a cancel: an unknown call is fenced, any other keeps its state. */
export const stateAfterCancel = (known: CallState | undefined): CallState => known ?? 'fenced';
