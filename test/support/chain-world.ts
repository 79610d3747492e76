/**
 * A chain of stages in one process and virtual time: the product's generation and stage table over
 * links with a delay and engines with the stand-in model's arithmetic.
 */
import { chooseChain, chooseStage, ManualClock } from '@verbenashunt/core';
import type {
  EngineOp, LoadedModel, Message, Offer,
} from '@verbenashunt/schema';
import {
  createFences, createGeneration, type AgentPeer, type RecoveryWay,
} from '@verbenashunt/entry';
import { createStageTable, type StageTable } from '@verbenashunt/agent';
import { createSequenceStore, type SequenceStore } from '@verbenashunt/stand-ins';

export interface ChainSpec {
  layers: number;
  /** Layer ranges of the chain; each has two targets, named by range and letter. */
  ranges: readonly (readonly [number, number])[];
  linkMs: number;
  layerMsPerToken: number;
  layerMsPerPrefillToken: number;
  prompt: number[];
  maxTokens: number;
  /** Ways of recovery that are allowed. */
  way: RecoveryWay;
  /** Bytes of one hidden state, for the time on a link. */
  hiddenBytes: number;
  bytesPerMs: number;
  /** Time of the request; two virtual minutes by default. */
  deadlineMs?: number;
  /** Whether a frame arrives twice. */
  doubles?: () => boolean;
}

export type Failure = 'reset' | 'silent' | 'engine';

interface Node {
  name: string;
  table: StageTable;
  engine: SequenceStore;
  /** Nothing leaves it and nothing reaches it. */
  mute: boolean;
  /** Frames between it and the entry are lost. */
  cut: boolean;
  /** Its peers know that it is gone. */
  gone: boolean;
  /** Virtual time until which its engine is busy. */
  busyUntil: number;
}

export interface ChainResult {
  answer: number[];
  /** Virtual milliseconds at which each token came. */
  times: number[];
  outcome: string;
  layerRuns: number;
  /** Hidden states that crossed links. */
  hiddenMoved: number;
  recovered: RecoveryWay[];
  /** Most bytes of outputs that one stage kept. */
  keptBytes: number;
  /** Stages that nodes hold after the end. */
  left: number;
}

const req = 'r';
const version = 'v1';
const model = 'm';
const entryName = 'entry';
const maxVirtualMs = 120_000;
const stepMs = 1;
/** Longer than any cut or frame on its way. */
const settleMs = 500;

export function createChainWorld(spec: ChainSpec) {
  const clock = new ManualClock();
  const nodes = new Map<string, Node>();
  const result: ChainResult = {
    answer: [],
    times: [],
    outcome: '',
    layerRuns: 0,
    hiddenMoved: 0,
    recovered: [],
    keptBytes: 0,
    left: 0,
  };
  let receive: (from: string, message: Message) => void = () => {};
  let over = false;

  const bytesOf = (message: Message) => (message.t === 'step' ? message.hidden.length * spec.hiddenBytes : 0);

  /** Carries a frame over a link unless one of its ends is mute when it leaves or arrives. */
  function carry(from: string, to: string, message: Message, arrive: () => void) {
    const ends = [nodes.get(from), nodes.get(to)];
    const mute = () => ends.some((node) => node?.mute)
      || (ends.includes(undefined) && ends.some((node) => node?.cut));
    if (mute()) return;
    if (message.t === 'step') result.hiddenMoved += message.hidden.length;
    const deliver = () => {
      if (!mute()) arrive();
    };
    const ms = spec.linkMs + bytesOf(message) / spec.bytesPerMs;
    clock.after(ms, deliver);
    if (spec.doubles?.()) clock.after(ms * 2, deliver);
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- nodes and frames know each other */
  function toNode(from: string, to: string, message: Message) {
    carry(from, to, message, () => dispatch(nodes.get(to)!, message));
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  const replyOf = (node: Node) => (message: Message) => {
    carry(node.name, entryName, message, () => receive(node.name, message));
  };

  function dispatch(node: Node, message: Message) {
    const { table } = node;
    const reply = replyOf(node);
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
      if (!node.mute) node.table.onEngineOutput(node.engine.run(op));
      result.keptBytes = Math.max(result.keptBytes, node.table.keptBytes);
    });
  }

  function addNode(name: string, [lo, hi]: readonly [number, number]) {
    const loaded: LoadedModel[] = [{
      model, version, lo, hi, layers: spec.layers,
    }];
    const node: Node = {
      name,
      engine: createSequenceStore(() => loaded),
      mute: false,
      cut: false,
      gone: false,
      busyUntil: 0,
      table: createStageTable({
        clock,
        incarnation: 1,
        maxActive: 64,
        revision: () => 1,
        admitting: () => !node.gone,
        loaded: () => loaded,
        sendToEngine: (op) => runEngine(node, op),
        sendToHop: (hop: Offer['next'], message) => toNode(name, hop.node, message),
        countEvent: () => {},
      }),
    };
    nodes.set(name, node);
  }

  spec.ranges.forEach((range, i) => ['a', 'b', 'c'].forEach((letter) => addNode(`${i}${letter}`, range)));

  const candidates = (avoid: ReadonlySet<string>) => [...nodes.values()]
    .filter(({ name, gone }) => !avoid.has(name) && !gone)
    .map(({ name }) => {
      const [lo, hi] = spec.ranges[Number(name[0])]!;
      return {
        node: name, zone: 'z', region: 'r', lo, hi, layerMs: spec.layerMsPerToken, active: 0, limit: 64,
      };
    });

  function agent(name: string): AgentPeer | undefined {
    const node = nodes.get(name);
    if (!node || node.gone) return undefined;
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
      send: (message) => toNode(entryName, name, message),
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
    maxTokens: spec.maxTokens,
    priority: 5,
    deadline: spec.deadlineMs ?? maxVirtualMs,
  }, {
    token(token) {
      result.answer.push(token);
      result.times.push(clock.now());
    },
    end: (reason) => Object.assign(result, { outcome: reason }),
    refuse: (refusal) => Object.assign(result, { outcome: refusal.code }),
  }, {
    clock,
    entry: entryName,
    retries: { deposit: () => {}, withdraw: () => true },
    revision: () => 1,
    crashed: () => true,
    placed() {},
    isApart: () => true,
    isSuspect: () => false,
    agent,
    fence(node, id, attempt) {
      fences.send(node, { t: 'cancel', req: id, attempt }, agent(node)?.send);
    },
    choose: (_, avoid) => chooseChain({
      layers: spec.layers, candidates: candidates(avoid), linkMs: () => spec.linkMs,
    }),
    replace: (_, range, avoid) => (spec.way === 'restart'
      ? undefined
      : chooseStage(candidates(avoid), range)),
    recovered: (way) => result.recovered.push(way),
    closed() {
      over = true;
    },
  });
  receive = (from, message) => run.receive(from, message);

  return {
    clock,
    nodes,
    run,
    result,
    /** Brings a failure about at a node. */
    fail(name: string, failure: Failure) {
      const node = nodes.get(name)!;
      if (failure === 'engine') {
        node.table.onEngineLost();
        Object.assign(node, { gone: false });
        return;
      }
      node.mute = true;
      if (failure === 'silent') return;
      clock.after(spec.linkMs, () => {
        node.gone = true;
        run.lost(name);
        [...nodes.values()].filter(({ mute }) => !mute)
          .forEach(({ table }) => table.onHopLost(name));
      });
    },
    /** Loses all frames between a node and the entry for a time; then a new connection resumes. */
    cut(name: string, ms: number) {
      const node = nodes.get(name)!;
      node.cut = true;
      clock.after(ms, () => {
        node.cut = false;
        run.resumed(name);
        fences.resumed(name, agent(name)?.send);
      });
    },
    /** Moves virtual time until the condition holds or the generation is over. */
    advance(until: () => boolean = () => false) {
      while (!over && !until() && clock.now() < maxVirtualMs) clock.advance(stepMs);
    },
    /** Lets frames on the way arrive and sums up. */
    finish(): ChainResult {
      this.advance();
      clock.advance(settleMs);
      const all = [...nodes.values()];
      result.layerRuns = all.reduce((sum, { engine }) => sum + engine.layerRuns, 0);
      result.left = all.filter(({ mute }) => !mute)
        .reduce((sum, { table }) => sum + table.active, 0);
      return result;
    },
  };
}

export type ChainWorld = ReturnType<typeof createChainWorld>;

export const chainDefaults: ChainSpec = {
  layers: 12,
  ranges: [[0, 4], [4, 8], [8, 12]],
  linkMs: 0.25,
  layerMsPerToken: 1,
  layerMsPerPrefillToken: 0.05,
  prompt: Array.from({ length: 40 }, (_, i) => (i * 7) % 256),
  maxTokens: 24,
  way: 'repair',
  hiddenBytes: 8192,
  bytesPerMs: 1_250_000,
};
