/** What a generation is given and what it needs. */
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

/** How a generation went on after a failure. */
export type RecoveryWay = 'repair' | 'restart';

export interface GenerationDeps {
  clock: Clock;
  entry: string;
  retries: RetryBudget;
  revision(): number;
  /** Chooses a chain that avoids the nodes given. */
  choose(spec: GenerationSpec, avoid: ReadonlySet<string>): Chain | undefined;
  /** Chooses a target for one range of layers that is not among those to avoid. */
  replace(
    spec: GenerationSpec,
    range: LayerRange,
    avoid: ReadonlySet<string>,
  ): string | undefined;
  agent(node: string): AgentPeer | undefined;
  /** Fences a request's attempts up to this one at a node, which also frees them there. */
  fence(node: string, req: string, attempt: number): void;
  /**
   * The target at a node crashed while it ran the request, alone among suspects or not; returns
   * whether to try again.
   */
  crashed(spec: GenerationSpec, node: string, alone: boolean): boolean;
  /** Whether the request ran on a target that crashed. */
  isSuspect(req: string): boolean;
  /** The request is given to these nodes and no others. */
  placed(req: string, nodes: readonly string[]): void;
  /** False when only requests that must be kept apart from this one are in the way of a chain. */
  isApart(spec: GenerationSpec, avoid: ReadonlySet<string>): boolean;
  /** A failure was answered in this way. */
  recovered?(way: RecoveryWay): void;
  /** The generation is over; no further frame will be heard. */
  closed(): void;
}

export type Generation = RequestRun;
