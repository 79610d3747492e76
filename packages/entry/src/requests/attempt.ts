/** One attempt of a generation: its stages, their reports and the messages sent to them. */
import type {
  CancelTimer, RepairCommand, RepairQuery, StageReport,
} from '@verbenashunt/core';
import type {
  Adopt, Message, Offer, LayerRange,
} from '@verbenashunt/schema';
import type { AgentPeer } from '../peers/agents.js';
import type { GenerationSpec } from './generation-spec.js';

export interface AttemptStage {
  node: string;
  lo: number;
  hi: number;
  /** Whether the stage starts without state in this attempt. */
  replaced: boolean;
  /** Progress of the stage; absent until it has accepted the offer or has been adopted. */
  report?: StageReport;
  /** All control messages of this attempt. They are idempotent, so they can be resent. */
  sent: Message[];
}

export interface Attempt {
  number: number;
  stages: AttemptStage[];
  /** Index in the answer of the first token that the last stage samples. */
  firstTokenIndex: number;
  started: boolean;
  /** Monotonic milliseconds. */
  startedAt: number;
  cancelTimer: CancelTimer;
}

export const isNewChain = ({ stages }: Attempt) => stages.every(({ replaced }) => replaced);
export const allStagesReported = ({ stages }: Attempt) => stages.every(({ report }) => report);

/** Report of a stage that has no state yet. */
export const initialReport = (): StageReport => ({
  pos: 0, outputs: 0, kept: 0, replaced: true, fed: [], offered: 0,
});

const createHop = ({
  node, host, port, incarnation,
}: AgentPeer): Offer['next'] => ({
  node, host, port, incarnation,
});

export interface OfferContext {
  spec: GenerationSpec;
  entry: string;
  revision: number;
  timeLeftMs: number;
  /** Answer tokens that become part of the prompt. */
  knownTokenCount: number;
  /** Whether the request was running on a target that crashed. */
  suspect: boolean;
}

export function createOffer(
  attempt: Attempt,
  peers: readonly AgentPeer[],
  index: number,
  ctx: OfferContext,
): Offer {
  const { spec, knownTokenCount } = ctx;
  const { lo, hi } = attempt.stages[index]!;
  return {
    t: 'offer',
    req: spec.req,
    attempt: attempt.number,
    incarnation: peers[index]!.incarnation,
    revision: ctx.revision,
    org: spec.org,
    cls: spec.cls,
    model: spec.model,
    version: spec.version,
    range: { lo, hi },
    index,
    stages: peers.length,
    next: createHop(peers[(index + 1) % peers.length]!),
    entry: ctx.entry,
    timeLeftMs: Math.max(0, ctx.timeLeftMs),
    priority: spec.priority,
    maxTokens: Math.max(1, spec.maxTokens - knownTokenCount),
    promptTokens: spec.prompt.length + knownTokenCount,
    suspect: ctx.suspect,
  };
}

export const createAdopt = (
  attempt: Attempt,
  previousAttempt: number,
  peers: readonly AgentPeer[],
  index: number,
  { req, suspect }: { req: string; suspect: boolean },
): Adopt => ({
  t: 'adopt',
  req,
  suspect,
  attempt: previousAttempt,
  to: attempt.number,
  next: createHop(peers[(index + 1) % peers.length]!),
});

export function createRepairMessage(command: RepairCommand, req: string, attempt: number): Message {
  if (command.do === 'replay') {
    return {
      t: 'replay', req, attempt, from: command.from,
    };
  }
  if (command.do === 'feed') {
    return {
      t: 'feed', req, attempt, pos: command.pos, token: command.token,
    };
  }
  return {
    t: 'start', req, attempt, tokens: command.tokens,
  };
}

/**
 * Returns the stages of an attempt with replacements for the lost ones, or undefined if a stage
 * has no replacement. Adds the chosen nodes to `excluded`.
 */
export function replaceLostStages(
  current: Attempt,
  lost: ReadonlySet<string>,
  excluded: Set<string>,
  choose: (range: LayerRange, excluded: ReadonlySet<string>) => string | undefined,
): AttemptStage[] | undefined {
  const stages = current.stages.flatMap(({
    node, lo, hi, replaced,
  }): AttemptStage[] => {
    const stage = { lo, hi, sent: [] };
    // A replacement whose attempt never started has no state, and its offer may be out of date.
    if (!lost.has(node)) return [{ ...stage, node, replaced: replaced && !current.started }];
    const replacement = choose({ lo, hi }, excluded);
    if (replacement === undefined) return [];
    excluded.add(replacement);
    return [{ ...stage, node: replacement, replaced: true }];
  });
  return stages.length === current.stages.length ? stages : undefined;
}

/** The input for planning a repair; every stage must have reported. */
export const createRepairQuery = (
  { stages }: Attempt,
  prompt: number[],
  delivered: number[],
): RepairQuery => ({ stages: stages.map(({ report }) => report!), prompt, delivered });
