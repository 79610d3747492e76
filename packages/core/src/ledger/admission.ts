/** What an agent holds of each call, and the decisions that admit and fence calls. */

export type CallState = 'running' | 'done' | 'failed' | 'fenced';

export interface AdmissionContext {
  /** Incarnation named by the call and that of this process. */
  wanted: number;
  incarnation: number;
  admitting: boolean;
  /** Revision of the sender and of this process. */
  revision: number;
  revisionHere: number;
  active: number;
  maxActive: number;
}

/** The code with which a call is refused; undefined admits it. A call seen before never runs. */
export function refuseCall(
  held: CallState | undefined,
  ctx: AdmissionContext,
): string | undefined {
  if (ctx.wanted !== ctx.incarnation) return 'old_incarnation';
  if (held) return held === 'fenced' ? 'fenced' : 'duplicate';
  if (!ctx.admitting) return 'draining';
  if (ctx.revision < ctx.revisionHere) return 'stale_config';
  return ctx.active >= ctx.maxActive ? 'busy' : undefined;
}

/** State after a cancel: a call that never ran is fenced, any other keeps its state. */
export const fenceCall = (held: CallState | undefined): CallState => held ?? 'fenced';
