/** One attempt of a generation: its chain, what each stage reported and what it was sent. */
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
  /** The stage begins anew in this attempt. */
  replaced: boolean;
  /** Where the stage stands; absent until it accepted or was adopted. */
  report?: StageReport;
  /** Every control frame of this attempt; each can be sent again without effect. */
  sent: Message[];
}

export interface Attempt {
  number: number;
  stages: AttemptStage[];
  /** Index within the answer of the last stage's first token. */
  base: number;
  started: boolean;
  /** Monotonic milliseconds. */
  startedAt: number;
  cancelTimer: CancelTimer;
}

export const isFresh = ({ stages }: Attempt) => stages.every(({ replaced }) => replaced);
export const isReady = ({ stages }: Attempt) => stages.every(({ report }) => report);

/** A stage that stands at the beginning. */
export const freshReport = (): StageReport => ({
  pos: 0, outputs: 0, kept: 0, replaced: true, fed: [], offered: 0,
});

const hopOf = ({
  node, host, port, incarnation,
}: AgentPeer): Offer['next'] => ({
  node, host, port, incarnation,
});

export interface OfferContext {
  spec: GenerationSpec;
  entry: string;
  revision: number;
  timeLeftMs: number;
  /** Tokens of the answer known. */
  known: number;
  /** The request ran on a target that crashed. */
  suspect: boolean;
}

export function offerOf(
  attempt: Attempt,
  peers: readonly AgentPeer[],
  index: number,
  ctx: OfferContext,
): Offer {
  const { spec, known } = ctx;
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
    next: hopOf(peers[(index + 1) % peers.length]!),
    entry: ctx.entry,
    timeLeftMs: Math.max(0, ctx.timeLeftMs),
    priority: spec.priority,
    maxTokens: Math.max(1, spec.maxTokens - known),
    promptTokens: spec.prompt.length + known,
    suspect: ctx.suspect,
  };
}

export const adoptOf = (
  attempt: Attempt,
  from: number,
  peers: readonly AgentPeer[],
  index: number,
  { req, suspect }: { req: string; suspect: boolean },
): Adopt => ({
  t: 'adopt', req, suspect, attempt: from, to: attempt.number, next: hopOf(peers[(index + 1) % peers.length]!),
});

/** The frame of a repair's command. */
export function frameOf(command: RepairCommand, req: string, attempt: number): Message {
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
 * The stages of an attempt with others in the place of the lost ones; undefined when there are
 * too few. `taken` grows by the nodes that are chosen.
 */
export function replaceLost(
  current: Attempt,
  lost: ReadonlySet<string>,
  taken: Set<string>,
  choose: (range: LayerRange, taken: ReadonlySet<string>) => string | undefined,
): AttemptStage[] | undefined {
  const stages = current.stages.flatMap(({
    node, lo, hi, replaced,
  }): AttemptStage[] => {
    const stage = { lo, hi, sent: [] };
    // A replacement that was not set going holds nothing, and what it was told may not hold now.
    if (!lost.has(node)) return [{ ...stage, node, replaced: replaced && !current.started }];
    const other = choose({ lo, hi }, taken);
    if (other === undefined) return [];
    taken.add(other);
    return [{ ...stage, node: other, replaced: true }];
  });
  return stages.length === current.stages.length ? stages : undefined;
}

/** What a repair is planned from, once every stage has reported. */
export const queryOf = (
  { stages }: Attempt,
  prompt: number[],
  delivered: number[],
): RepairQuery => ({ stages: stages.map(({ report }) => report!), prompt, delivered });
