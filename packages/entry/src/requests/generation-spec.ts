/** Request, result sink and dependencies of a generation. */
import type { Chain, Clock, Refusal } from '@verbenashunt/core';
import type { LayerRange } from '@verbenashunt/schema';
import type { AgentPeer } from '../peers/agents.js';
import type { RequestRun } from './registry.js';
import type { RetryBudget } from './retries.js';

export interface GenerationSpec {
  req: string;
  org: string;
  cls: string;
  model: string;
  version: string;
  layers: number;
  prompt: number[];
  /** Ids of the parts of the prompt that other requests may share, in order. */
  parts: readonly string[];
  maxTokens: number;
  priority: number;
  /** Monotonic milliseconds. */
  deadline: number;
}

export interface GenerationSink {
  token(token: number): void;
  end(reason: 'stop' | 'length'): void;
  refuse(refusal: Refusal): void;
}

/** Loss of a target that ran a part of a generation. */
export interface TargetLoss {
  /** Id of the loss, the same for all requests that ran on the target. */
  id: string;
  /** Whether no other suspect ran there. */
  isAlone: boolean;
  /** Whether the attempt has produced a token. */
  hasBegun: boolean;
  /** When the attempt was offered, on the entry's clock. */
  sentAt: number;
}

/** How a generation continued after a failure: on the surviving stages or on a new chain. */
export type RecoveryMethod = 'repair' | 'restart';

export interface GenerationDeps {
  clock: Clock;
  entry: string;
  retries: RetryBudget;
  revision(): number;
  /** Chooses a chain without the nodes to avoid. */
  chooseChain(spec: GenerationSpec, avoid: ReadonlySet<string>): Chain | undefined;
  /** Chooses a node for one range of layers, other than the nodes to avoid. */
  chooseReplacement(
    spec: GenerationSpec,
    range: LayerRange,
    avoid: ReadonlySet<string>,
  ): string | undefined;
  agent(node: string): AgentPeer | undefined;
  /** Fences a request's attempts up to the given one at a node, which also releases them. */
  fence(node: string, req: string, attempt: number): void;
  /** Records that a target crashed while it ran the request; whether it may be retried. */
  recordCrash(spec: GenerationSpec, loss: TargetLoss): boolean;
  /** Records that an attempt has produced its first token. */
  recordBegun(spec: GenerationSpec): void;
  /** Whether the request was running on a target that crashed. */
  isSuspect(req: string): boolean;
  /** Records the nodes that run the request, so that other suspects can avoid them. */
  recordNodes(req: string, nodes: readonly string[]): void;
  /** False if the request must wait: every available chain has a node that runs another suspect. */
  isUnblockedBySuspects(spec: GenerationSpec, avoid: ReadonlySet<string>): boolean;
  onRecovery?(method: RecoveryMethod): void;
  /** Called once the generation is over; it receives no further messages. */
  onClosed(): void;
}

export type Generation = RequestRun;
