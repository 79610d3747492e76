/**
 * Simulates a chain of stages in one process and virtual time. The generation and the stage tables
 * are the production code; the links have a delay and the engines compute the stand-in model.
 */
import { chooseChain, chooseStage, ManualClock } from '@verbenashunt/core';
import type {
  EngineOp, LoadedModel, Message, Offer,
} from '@verbenashunt/schema';
import {
  createFences, createGeneration, type AgentPeer, type RecoveryMethod,
} from '@verbenashunt/entry';
import { createStageTable, type StageTable } from '@verbenashunt/agent';
import { createSequenceStore, type SequenceStore } from '@verbenashunt/stand-ins';

export interface ChainSpec {
  layers: number;
  /** Layer ranges of the chain. Each has three nodes: `0a`, `0b` and `0c` for the first range. */
  ranges: readonly (readonly [number, number])[];
  linkMs: number;
  layerMsPerToken: number;
  layerMsPerPrefillToken: number;
  prompt: number[];
  maxTokens: number;
  /** `restart` prevents repairs; `repair` still falls back to a restart. */
  recoveryMethod: RecoveryMethod;
  /** Size of one hidden state, which adds to the time that a message takes on a link. */
  hiddenBytes: number;
  bytesPerMs: number;
  /** Deadline of the request; two virtual minutes by default. */
  deadlineMs?: number;
  /** Whether the current message arrives twice. */
  isDuplicated?: () => boolean;
}

/** Reset connections, silent loss of all messages, or loss of the engine. */
export type Failure = 'reset' | 'silent' | 'engine';

interface Node {
  name: string;
  table: StageTable;
  engine: SequenceStore;
  /** Whether all messages from and to it are lost. */
  isolated: boolean;
  /** Whether messages between it and the entry are lost. */
  entryLinkDown: boolean;
  /** Whether its peers know that it was lost. */
  knownLost: boolean;
  /** Virtual time until which its engine is busy. */
  busyUntil: number;
}

export interface ChainResult {
  answer: number[];
  /** Virtual time in milliseconds at which each token arrived. */
  tokenTimes: number[];
  outcome: string;
  layerRuns: number;
  /** Hidden states sent over links. */
  hiddenStatesSent: number;
  recovered: RecoveryMethod[];
  /** Maximum size of the outputs that one stage buffered. */
  peakBufferedBytes: number;
  /** Stages that connected nodes still hold after the end. */
  remainingStages: number;
}

const req = 'r';
const version = 'v1';
const model = 'm';
const entryName = 'entry';
const maxVirtualMs = 120_000;
const stepMs = 1;
/** Longer than any link interruption and any message delay. */
const drainMs = 500;

export function createChainSimulation(spec: ChainSpec) {
  const clock = new ManualClock();
  const nodes = new Map<string, Node>();
  const result: ChainResult = {
    answer: [],
    tokenTimes: [],
    outcome: '',
    layerRuns: 0,
    hiddenStatesSent: 0,
    recovered: [],
    peakBufferedBytes: 0,
    remainingStages: 0,
  };
  let receive: (from: string, message: Message) => void = () => {};
  let closed = false;

  const bytesOf = (message: Message) => (message.t === 'step' ? message.hidden.length * spec.hiddenBytes : 0);

  /** Sends a message over a link; it is lost if the link is cut when it leaves or arrives. */
  function transmit(from: string, to: string, message: Message, arrive: () => void) {
    const ends = [nodes.get(from), nodes.get(to)];
    const isCut = () => ends.some((node) => node?.isolated)
      || (ends.includes(undefined) && ends.some((node) => node?.entryLinkDown));
    if (isCut()) return;
    if (message.t === 'step') result.hiddenStatesSent += message.hidden.length;
    const deliver = () => {
      if (!isCut()) arrive();
    };
    const ms = spec.linkMs + bytesOf(message) / spec.bytesPerMs;
    clock.after(ms, deliver);
    if (spec.isDuplicated?.()) clock.after(ms * 2, deliver);
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- the functions call each other */
  function sendToNode(from: string, to: string, message: Message) {
    transmit(from, to, message, () => dispatch(nodes.get(to)!, message));
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  const createReply = (node: Node) => (message: Message) => {
    transmit(node.name, entryName, message, () => receive(node.name, message));
  };

  function dispatch(node: Node, message: Message) {
    const { table } = node;
    const reply = createReply(node);
    if (message.t === 'offer') table.offer(message, reply);
    else if (message.t === 'start') table.start(message);
    else if (message.t === 'step') table.step(message);
    else if (message.t === 'feed') table.feed(message);
    else if (message.t === 'adopt') table.adopt(message, reply);
    else if (message.t === 'replay') table.replay(message);
    else if (message.t === 'resume') table.resume(message, reply);
    else if (message.t === 'cancel') table.cancel(message.req, message.attempt, reply);
    else if (message.t === 'status') table.status(message.req, message.attempt, reply);
  }

  function runEngine(node: Node, op: EngineOp) {
    if (op.op === 'cancel') {
      node.engine.drop(op.seq);
      return;
    }
    const positions = op.tokens?.length ?? op.hidden?.length ?? 0;
    const layers = (op.hi ?? 0) - (op.lo ?? 0);
    const perLayer = positions === 1
      ? spec.layerMsPerToken
      : positions * spec.layerMsPerPrefillToken;
    Object.assign(node, { busyUntil: Math.max(clock.now(), node.busyUntil) + perLayer * layers });
    clock.after(node.busyUntil - clock.now(), () => {
      if (!node.isolated) node.table.onEngineOutput(node.engine.run(op));
      result.peakBufferedBytes = Math.max(result.peakBufferedBytes, node.table.keptBytes);
    });
  }

  function addNode(name: string, [lo, hi]: readonly [number, number]) {
    const loaded: LoadedModel[] = [{
      model, version, lo, hi, layers: spec.layers,
    }];
    const node: Node = {
      name,
      engine: createSequenceStore(() => loaded),
      isolated: false,
      entryLinkDown: false,
      knownLost: false,
      busyUntil: 0,
      table: createStageTable({
        clock,
        incarnation: 1,
        maxActive: 64,
        revision: () => 1,
        admitting: () => !node.knownLost,
        loaded: () => loaded,
        sendToEngine: (op) => runEngine(node, op),
        sendToHop: (hop: Offer['next'], message) => sendToNode(name, hop.node, message),
        countEvent: () => {},
      }),
    };
    nodes.set(name, node);
  }

  spec.ranges.forEach((range, i) => ['a', 'b', 'c'].forEach((letter) => addNode(`${i}${letter}`, range)));

  const candidates = (avoid: ReadonlySet<string>) => [...nodes.values()]
    .filter(({ name, knownLost }) => !avoid.has(name) && !knownLost)
    .map(({ name }) => {
      const [lo, hi] = spec.ranges[Number(name[0])]!;
      return {
        node: name, zone: 'z', region: 'r', lo, hi, layerMs: spec.layerMsPerToken, active: 0, limit: 64,
      };
    });

  function agent(name: string): AgentPeer | undefined {
    const node = nodes.get(name);
    if (!node || node.knownLost) return undefined;
    return {
      node: name,
      zone: 'z',
      region: 'r',
      host: name,
      port: 1,
      incarnation: 1,
      revision: 1,
      own: 0,
      state: {} as AgentPeer['state'],
      send: (message) => sendToNode(entryName, name, message),
    };
  }

  const fences = createFences(clock);
  const run = createGeneration({
    req,
    org: 'o',
    cls: 'c',
    model,
    version,
    layers: spec.layers,
    prompt: spec.prompt,
    parts: [],
    maxTokens: spec.maxTokens,
    priority: 5,
    deadline: spec.deadlineMs ?? maxVirtualMs,
  }, {
    token(token) {
      result.answer.push(token);
      result.tokenTimes.push(clock.now());
    },
    end: (reason) => Object.assign(result, { outcome: reason }),
    refuse: (refusal) => Object.assign(result, { outcome: refusal.code }),
  }, {
    clock,
    entry: entryName,
    retries: { deposit: () => {}, withdraw: () => true },
    revision: () => 1,
    recordCrash: () => true,
    recordBegun() {},
    recordNodes() {},
    isUnblockedBySuspects: () => true,
    isSuspect: () => false,
    agent,
    fence(node, id, attempt) {
      fences.send(node, { t: 'cancel', req: id, attempt }, agent(node)?.send);
    },
    chooseChain: (_, avoid) => chooseChain({
      layers: spec.layers, candidates: candidates(avoid), linkMs: () => spec.linkMs,
    }),
    chooseReplacement: (_, range, avoid) => (spec.recoveryMethod === 'restart'
      ? undefined
      : chooseStage(candidates(avoid), range)),
    onRecovery: (method) => result.recovered.push(method),
    onClosed() {
      closed = true;
    },
  });
  receive = (from, message) => run.receive(from, message);

  return {
    clock,
    nodes,
    run,
    result,
    /** Causes a failure at a node. */
    fail(name: string, failure: Failure) {
      const node = nodes.get(name)!;
      if (failure === 'engine') {
        node.table.onEngineLost();
        Object.assign(node, { knownLost: false });
        return;
      }
      node.isolated = true;
      if (failure === 'silent') return;
      clock.after(spec.linkMs, () => {
        node.knownLost = true;
        run.onAgentLost(name);
        [...nodes.values()].filter(({ isolated }) => !isolated)
          .forEach(({ table }) => table.onHopLost(name));
      });
    },
    /** Loses all messages between a node and the entry for a time, then opens a new connection. */
    interruptEntryLink(name: string, ms: number) {
      const node = nodes.get(name)!;
      node.entryLinkDown = true;
      clock.after(ms, () => {
        node.entryLinkDown = false;
        run.onAgentResumed(name);
        fences.resend(name, agent(name)?.send);
      });
    },
    /** Advances virtual time until the condition holds or the generation is over. */
    advance(until: () => boolean = () => false) {
      while (!closed && !until() && clock.now() < maxVirtualMs) clock.advance(stepMs);
    },
    /** Runs the generation to its end, lets pending messages arrive and completes the result. */
    finish(): ChainResult {
      this.advance();
      clock.advance(drainMs);
      const all = [...nodes.values()];
      result.layerRuns = all.reduce((sum, { engine }) => sum + engine.layerRuns, 0);
      result.remainingStages = all.filter(({ isolated }) => !isolated)
        .reduce((sum, { table }) => sum + table.active, 0);
      return result;
    },
  };
}

export type ChainSimulation = ReturnType<typeof createChainSimulation>;

export const defaultChainSpec: ChainSpec = {
  layers: 12,
  ranges: [[0, 4], [4, 8], [8, 12]],
  linkMs: 0.25,
  layerMsPerToken: 1,
  layerMsPerPrefillToken: 0.05,
  prompt: Array.from({ length: 40 }, (_, i) => (i * 7) % 256),
  maxTokens: 24,
  recoveryMethod: 'repair',
  hiddenBytes: 8192,
  bytesPerMs: 1_250_000,
};
