/**
 * One generation: offers a chain, starts it when all stages accepted, delivers each token once
 * and in order. When a stage is lost the survivors keep their KV caches and a replacement is
 * brought to their position; where that cannot be, another chain takes the tokens over as prompt.
 */
import {
  createRefusal, knownTokens, planRepair, type RefusalCode,
} from '@verbenashunt/core';
import type { Message } from '@verbenashunt/schema';
import type { AgentPeer } from '../peers/agents.js';
import {
  adoptOf, frameOf, freshReport, isFresh, isReady, offerOf, queryOf, replaceLost,
  type Attempt, type AttemptStage,
} from './attempt.js';
import type {
  Generation, GenerationDeps, GenerationSink, GenerationSpec,
} from './generation-spec.js';
import { createProgressWatch, type ProgressWatch } from './progress-watch.js';
import { createStallDetector } from './stall.js';

export type * from './generation-spec.js';

const offerTimeoutMs = 1000;
const maxAttempts = 8;
const maxRejoins = 3;
/** Time between looks for a chain apart from other suspects. */
const apartPollMs = 50;

export function createGeneration(
  spec: GenerationSpec,
  sink: GenerationSink,
  deps: GenerationDeps,
): Generation {
  const { req } = spec;
  const delivered: number[] = [];
  const avoid = new Set<string>();
  /** How often each broken hop was joined again. */
  const rejoined = new Map<string, number>();
  const stall = createStallDetector();
  let attempt: Attempt | undefined;
  let attempts = 0;
  let ran = false;
  let over = false;
  let tokenAt = 0;
  let watch: ProgressWatch | undefined;
  let cancelDeadline = () => {};
  let cancelWait = () => {};

  const timeLeft = () => spec.deadline - deps.clock.now();
  const nodesOf = ({ stages }: Attempt) => stages.map(({ node }) => node);

  function send(stage: AttemptStage, message: Message) {
    stage.sent.push(message);
    deps.agent(stage.node)?.send(message);
  }

  function hold(node: string, change: 1 | -1) {
    const peer = deps.agent(node);
    if (peer) Object.assign(peer, { own: Math.max(0, peer.own + change) });
  }

  /** Fences the attempt on those of its stages that were offered it, which also frees them. */
  function releaseStages(stages: readonly AttemptStage[], number: number) {
    stages.filter(({ sent }) => sent.length > 0).forEach(({ node }) => {
      hold(node, -1);
      deps.fence(node, req, number);
    });
  }

  function release() {
    if (!attempt) return;
    attempt.cancelTimer();
    releaseStages(attempt.stages, attempt.number);
    attempt = undefined;
  }

  function close() {
    watch?.stop();
    cancelDeadline();
    cancelWait();
    release();
    over = true;
    deps.closed();
  }

  function refuse(code: RefusalCode) {
    close();
    const told = ran && code !== 'quarantined' ? 'interrupted' : code;
    const detail = delivered.length > 0 ? { detail: `after ${delivered.length} tokens` } : {};
    sink.refuse(createRefusal(told, { ...detail, ...(ran ? { ran: 'unknown' } : {}) }));
  }

  function peersOf(stages: readonly { node: string }[]): AgentPeer[] | undefined {
    const peers = stages.flatMap(({ node }) => deps.agent(node) ?? []);
    return peers.length === stages.length ? peers : undefined;
  }

  function offer(current: Attempt, peers: readonly AgentPeer[], index: number, known: number) {
    const stage = current.stages[index]!;
    hold(stage.node, 1);
    send(stage, offerOf(current, peers, index, {
      spec,
      entry: deps.entry,
      revision: deps.revision(),
      timeLeftMs: timeLeft(),
      known,
      suspect: deps.isSuspect(req),
    }));
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- a failure begins the next try */
  function nextAttempt(stages: AttemptStage[], base: number): Attempt {
    const current: Attempt = {
      number: attempts,
      stages,
      base,
      started: false,
      startedAt: deps.clock.now(),
      cancelTimer: deps.clock.after(offerTimeoutMs, () => unanswered(current)),
    };
    attempts += 1;
    attempt = current;
    deps.placed(req, nodesOf(current));
    stall.reset();
    return current;
  }
  /** Holds nothing until a chain is free of other suspects. */
  function waitApart(code: RefusalCode) {
    release();
    deps.placed(req, []);
    cancelWait();
    cancelWait = deps.clock.after(apartPollMs, () => begin(code));
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  function begin(code: RefusalCode) {
    const chain = deps.choose(spec, avoid);
    const peers = chain && peersOf(chain.stages);
    if (!chain && !deps.isApart(spec, avoid)) {
      waitApart(code);
      return;
    }
    if (!chain || !peers) {
      refuse(code);
      return;
    }
    const stages = chain.stages.map((stage): AttemptStage => ({
      ...stage, replaced: true, sent: [],
    }));
    const current = nextAttempt(stages, delivered.length);
    stages.forEach((_, index) => offer(current, peers, index, delivered.length));
  }

  /** Goes on with another chain, whose prompt holds the tokens delivered. */
  function restart(code: RefusalCode, charged: boolean) {
    release();
    if (attempts >= maxAttempts || (charged && !deps.retries.withdraw())) {
      refuse(code);
      return;
    }
    if (ran) deps.recovered?.('restart');
    begin(code);
  }

  const replacements = (current: Attempt, lost: ReadonlySet<string>) => replaceLost(
    current,
    lost,
    new Set([...avoid, ...nodesOf(current)]),
    (range, taken) => deps.replace(spec, range, taken),
  );

  const canGoOn = (current: Attempt, lost: ReadonlySet<string>) => Boolean(
    replacements(current, lost) ?? deps.choose(spec, new Set([...avoid, ...lost])),
  );

  /** Puts other targets in the place of the lost ones and joins the survivors to them. */
  function repair(lost: ReadonlySet<string>) {
    const old = attempt!;
    const stages = replacements(old, lost);
    const peers = stages && peersOf(stages);
    const survivors = stages?.some(({ replaced }) => !replaced) && old.stages.length > 1;
    if (!stages || !peers || !survivors || attempts >= maxAttempts) {
      restart('interrupted', false);
      return;
    }
    old.cancelTimer();
    const kept = new Set(stages.flatMap(({ node, replaced }) => (replaced ? [] : [node])));
    releaseStages(old.stages.filter(({ node }) => !kept.has(node)), old.number);
    deps.recovered?.('repair');
    const current = nextAttempt(stages, old.base);
    stages.forEach((stage, index) => {
      if (!stage.replaced) {
        send(stage, adoptOf(current, old.number, peers, index, {
          req, suspect: deps.isSuspect(req),
        }));
        return;
      }
      // The last stage is offered once it is known from which position on it samples.
      if (index < stages.length - 1) offer(current, peers, index, delivered.length);
    });
  }

  /** Some stages of the attempt are gone. */
  function fault(lost: readonly string[], code: RefusalCode = 'interrupted') {
    if (!attempt) return;
    lost.forEach((node) => avoid.add(node));
    if (isFresh(attempt) && !attempt.started) restart(code, true);
    else repair(new Set(lost));
  }

  function unanswered(current: Attempt) {
    if (attempt !== current || current.started) return;
    fault(current.stages.filter(({ report }) => !report).map(({ node }) => node), 'no_chain');
  }

  function deliver(value: number) {
    tokenAt = deps.clock.now();
    delivered.push(value);
    sink.token(value);
  }

  function resumeAt(current: Attempt) {
    const last = current.stages.at(-1)!;
    deps.agent(last.node)?.send({
      t: 'resume', req, attempt: current.number, seq: delivered.length - current.base,
    });
  }

  /** Every stage is in place: sets the answer going. */
  function start(current: Attempt) {
    const query = queryOf(current, spec.prompt, delivered);
    const commands = planRepair(query);
    if (!commands) {
      restart('interrupted', false);
      return;
    }
    current.cancelTimer();
    const last = current.stages.at(-1)!;
    knownTokens(query).slice(delivered.length).forEach(deliver);
    Object.assign(current, {
      started: true, ...(last.replaced ? { base: delivered.length } : {}),
    });
    ran = true;
    tokenAt = deps.clock.now();
    commands.forEach((command) => send(
      current.stages[command.to]!,
      frameOf(command, req, current.number),
    ));
    if (!last.replaced) resumeAt(current);
  }

  function ready(current: Attempt, node: string, report: AttemptStage['report']) {
    const stage = current.stages.find((other) => other.node === node);
    if (!stage || stage.report || current.started) return;
    Object.assign(stage, { report });
    const last = current.stages.at(-1)!;
    const others = current.stages.slice(0, -1);
    if (isReady(current)) start(current);
    else if (last.sent.length === 0 && others.every((other) => other.report)) {
      Object.assign(last, { report: freshReport() });
      const known = knownTokens(queryOf(current, spec.prompt, delivered)).length;
      delete last.report;
      const peers = peersOf(current.stages);
      if (peers) offer(current, peers, current.stages.length - 1, known);
    }
  }

  function token(current: Attempt, seq: number, value: number) {
    const index = current.base + seq;
    if (index === delivered.length) deliver(value);
    else if (index > delivered.length) resumeAt(current);
  }

  function ended(current: Attempt, count: number, reason: 'stop' | 'length') {
    if (current.base + count !== delivered.length) {
      resumeAt(current);
      return;
    }
    close();
    sink.end(reason);
  }

  /** A hop that broke between two living agents is joined again a few times, then replaced. */
  function hopLost(node: string) {
    const times = rejoined.get(node) ?? 0;
    if (deps.agent(node) && times < maxRejoins) {
      rejoined.set(node, times + 1);
      repair(new Set());
    } else fault([node]);
  }

  function failed(node: string, message: Extract<Message, { t: 'fail' }>) {
    const crashed = message.code === 'target_lost' && ran;
    const others = (message.suspects ?? 0) - (deps.isSuspect(req) ? 1 : 0);
    if (crashed && !deps.crashed(spec, node, others <= 0)) refuse('quarantined');
    else if (message.code === 'hop_lost' && message.node) hopLost(message.node);
    else fault([node]);
  }

  function refused(node: string, code: string) {
    if (code === 'apart') waitApart('interrupted');
    else fault([node], code === 'busy' ? 'overloaded' : 'no_chain');
  }

  watch = createProgressWatch({
    clock: deps.clock,
    stall,
    progressAt: () => (attempt?.started ? tokenAt : undefined),
    nodes: () => (attempt ? nodesOf(attempt) : []),
    ask: (node) => deps.agent(node)?.send({ t: 'status', req, attempt: attempt!.number }),
    // Where nothing else serves the layers the answer is better served by waiting.
    mayLose: (lost) => canGoOn(attempt!, new Set(lost)),
    lose: (lost) => fault(lost),
  });

  cancelDeadline = deps.clock.after(Math.max(0, timeLeft()), () => refuse('deadline'));
  deps.retries.deposit();
  begin('no_chain');

  function receive(current: Attempt, node: string, message: Message) {
    const isLast = node === current.stages.at(-1)!.node;
    if (message.t === 'token' && isLast) token(current, message.seq, message.token);
    else if (message.t === 'accept') ready(current, node, freshReport());
    else if (message.t === 'adopted') ready(current, node, { ...message, replaced: false });
    else if (message.t === 'end' && isLast) ended(current, message.count, message.reason);
    else if (message.t === 'refuse') refused(node, message.code);
    else if (message.t === 'fail') failed(node, message);
    else if (message.t === 'statusReply') stall.reply(node, message);
  }

  return {
    receive(node, message) {
      if (over || !attempt || !('attempt' in message)) return;
      const mine = message.attempt === attempt.number && nodesOf(attempt).includes(node);
      if (mine) receive(attempt, node, message);
    },
    lost(node) {
      if (!over && attempt && nodesOf(attempt).includes(node)) fault([node]);
    },
    resumed(node) {
      const stage = attempt?.stages.find((other) => other.node === node);
      if (over || !attempt || !stage) return;
      stage.sent.forEach((message) => deps.agent(node)?.send(message));
      if (attempt.started && stage === attempt.stages.at(-1)) resumeAt(attempt);
    },
    cancel() {
      if (!over) close();
    },
  };
}
