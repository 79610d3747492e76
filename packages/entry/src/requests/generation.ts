/**
 * Runs one generation: offers it to a chain of nodes, starts it once all stages have accepted, and
 * delivers each token once and in order. If a stage is lost, the surviving stages keep their KV
 * caches and a replacement catches up with them. If that is not possible, the generation restarts
 * on another chain, with the delivered tokens appended to the prompt.
 */
import {
  createRefusal, knownTokens, planRepair, type RefusalCode,
} from '@verbenashunt/core';
import type { Message } from '@verbenashunt/schema';
import type { AgentPeer } from '../peers/agents.js';
import {
  createAdopt, createRepairMessage, initialReport, isNewChain, allStagesReported, createOffer,
  createRepairQuery, replaceLostStages,
  type Attempt, type AttemptStage,
} from './attempt.js';
import type {
  Generation, GenerationDeps, GenerationSink, GenerationSpec, TargetLoss,
} from './generation-spec.js';
import { createProgressWatch, type ProgressWatch } from './progress-watch.js';
import { createStallDetector } from './stall-detector.js';

export type * from './generation-spec.js';

const offerTimeoutMs = 1000;
const maxAttempts = 8;
const maxRejoins = 3;
/** Interval between attempts to find a chain without other suspects. */
const suspectPollMs = 50;

export function createGeneration(
  spec: GenerationSpec,
  sink: GenerationSink,
  deps: GenerationDeps,
): Generation {
  const { req } = spec;
  const delivered: number[] = [];
  const avoid = new Set<string>();
  /** Rejoins by the node at the far end of the broken hop. */
  const rejoinCounts = new Map<string, number>();
  const stall = createStallDetector();
  let attempt: Attempt | undefined;
  let attempts = 0;
  let mayHaveRun = false;
  let closed = false;
  let lastTokenAt = 0;
  let progressWatch: ProgressWatch | undefined;
  let cancelDeadline = () => {};
  let cancelWait = () => {};

  const timeLeft = () => spec.deadline - deps.clock.now();
  const nodesOf = ({ stages }: Attempt) => stages.map(({ node }) => node);

  function send(stage: AttemptStage, message: Message) {
    stage.sent.push(message);
    deps.agent(stage.node)?.send(message);
  }

  /** Adjusts the number of this entry's requests on a node. */
  function adjustOwnRequests(node: string, change: 1 | -1) {
    const peer = deps.agent(node);
    if (peer) Object.assign(peer, { own: Math.max(0, peer.own + change) });
  }

  /** Fences the attempt on the stages that were sent an offer, which also releases them there. */
  function releaseStages(stages: readonly AttemptStage[], number: number) {
    stages.filter(({ sent }) => sent.length > 0).forEach(({ node }) => {
      adjustOwnRequests(node, -1);
      deps.fence(node, req, number);
    });
  }

  function releaseAttempt() {
    if (!attempt) return;
    attempt.cancelTimer();
    releaseStages(attempt.stages, attempt.number);
    attempt = undefined;
  }

  function close() {
    progressWatch?.stop();
    cancelDeadline();
    cancelWait();
    releaseAttempt();
    closed = true;
    deps.onClosed();
  }

  function refuse(code: RefusalCode) {
    close();
    const reportedCode = mayHaveRun && code !== 'quarantined' ? 'interrupted' : code;
    const detail = delivered.length > 0 ? { detail: `after ${delivered.length} tokens` } : {};
    sink.refuse(createRefusal(reportedCode, {
      ...detail, ...(mayHaveRun ? { ran: 'unknown' } : {}),
    }));
  }

  function peersOf(stages: readonly { node: string }[]): AgentPeer[] | undefined {
    const peers = stages.flatMap(({ node }) => deps.agent(node) ?? []);
    return peers.length === stages.length ? peers : undefined;
  }

  function offer(
    current: Attempt,
    peers: readonly AgentPeer[],
    index: number,
    knownTokenCount: number,
  ) {
    const stage = current.stages[index]!;
    adjustOwnRequests(stage.node, 1);
    send(stage, createOffer(current, peers, index, {
      spec,
      entry: deps.entry,
      revision: deps.revision(),
      timeLeftMs: timeLeft(),
      knownTokenCount,
      suspect: deps.isSuspect(req),
    }));
  }

  /* eslint-disable @typescript-eslint/no-use-before-define -- a failure starts the next attempt */
  function nextAttempt(stages: AttemptStage[], firstTokenIndex: number): Attempt {
    const current: Attempt = {
      number: attempts,
      stages,
      firstTokenIndex,
      started: false,
      startedAt: deps.clock.now(),
      cancelTimer: deps.clock.after(offerTimeoutMs, () => handleOfferTimeout(current)),
    };
    attempts += 1;
    attempt = current;
    deps.recordNodes(req, nodesOf(current));
    stall.reset();
    return current;
  }
  /** Releases all nodes and tries again later, until a chain is free of other suspects. */
  function waitForOtherSuspects(code: RefusalCode) {
    releaseAttempt();
    deps.recordNodes(req, []);
    cancelWait();
    cancelWait = deps.clock.after(suspectPollMs, () => offerNewChain(code));
  }
  /* eslint-enable @typescript-eslint/no-use-before-define */

  /** Offers the generation to a new chain; without one, refuses it with the code. */
  function offerNewChain(code: RefusalCode) {
    const chain = deps.chooseChain(spec, avoid);
    const peers = chain && peersOf(chain.stages);
    if (!chain && !deps.isUnblockedBySuspects(spec, avoid)) {
      waitForOtherSuspects(code);
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

  /** Continues on another chain, with the delivered tokens appended to the prompt. */
  function restart(code: RefusalCode, usesRetryBudget: boolean) {
    releaseAttempt();
    if (attempts >= maxAttempts || (usesRetryBudget && !deps.retries.withdraw())) {
      refuse(code);
      return;
    }
    if (mayHaveRun) deps.onRecovery?.('restart');
    offerNewChain(code);
  }

  const stagesWithReplacements = (current: Attempt, lost: ReadonlySet<string>) => replaceLostStages(
    current,
    lost,
    new Set([...avoid, ...nodesOf(current)]),
    (range, excluded) => deps.chooseReplacement(spec, range, excluded),
  );

  const canContinueWithout = (current: Attempt, lost: ReadonlySet<string>) => Boolean(
    stagesWithReplacements(current, lost) ?? deps.chooseChain(spec, new Set([...avoid, ...lost])),
  );

  /** Replaces the lost stages and links the surviving ones to the replacements. */
  function repair(lost: ReadonlySet<string>) {
    const previous = attempt!;
    const stages = stagesWithReplacements(previous, lost);
    const peers = stages && peersOf(stages);
    const hasSurvivors = stages?.some(({ replaced }) => !replaced) && previous.stages.length > 1;
    if (!stages || !peers || !hasSurvivors || attempts >= maxAttempts) {
      restart('interrupted', false);
      return;
    }
    previous.cancelTimer();
    const survivingNodes = new Set(
      stages.flatMap(({ node, replaced }) => (replaced ? [] : [node])),
    );
    releaseStages(previous.stages.filter(({ node }) => !survivingNodes.has(node)), previous.number);
    deps.onRecovery?.('repair');
    const current = nextAttempt(stages, previous.firstTokenIndex);
    stages.forEach((stage, index) => {
      if (!stage.replaced) {
        send(stage, createAdopt(current, previous.number, peers, index, {
          req, suspect: deps.isSuspect(req),
        }));
        return;
      }
      // The last stage gets its offer later, once its first sampling position is known.
      if (index < stages.length - 1) offer(current, peers, index, delivered.length);
    });
  }

  /** Recovers from the loss of nodes of the current attempt. */
  function handleLostNodes(lost: readonly string[], code: RefusalCode = 'interrupted') {
    if (!attempt) return;
    lost.forEach((node) => avoid.add(node));
    if (isNewChain(attempt) && !attempt.started) restart(code, true);
    else repair(new Set(lost));
  }

  function handleOfferTimeout(current: Attempt) {
    if (attempt !== current || current.started) return;
    handleLostNodes(
      current.stages.filter(({ report }) => !report).map(({ node }) => node),
      'no_chain',
    );
  }

  function deliver(value: number) {
    if (delivered.length === attempt!.firstTokenIndex) deps.recordBegun(spec);
    lastTokenAt = deps.clock.now();
    delivered.push(value);
    sink.token(value);
  }

  /** Asks the last stage to resend the tokens that follow the delivered ones. */
  function requestMissingTokens(current: Attempt) {
    const last = current.stages.at(-1)!;
    deps.agent(last.node)?.send({
      t: 'resume', req, attempt: current.number, seq: delivered.length - current.firstTokenIndex,
    });
  }

  /** Starts or continues the answer; every stage must have reported. */
  function start(current: Attempt) {
    const query = createRepairQuery(current, spec.prompt, delivered);
    const commands = planRepair(query);
    if (!commands) {
      restart('interrupted', false);
      return;
    }
    current.cancelTimer();
    const last = current.stages.at(-1)!;
    knownTokens(query).slice(delivered.length).forEach(deliver);
    Object.assign(current, {
      started: true, ...(last.replaced ? { firstTokenIndex: delivered.length } : {}),
    });
    mayHaveRun = true;
    lastTokenAt = deps.clock.now();
    commands.forEach((command) => send(
      current.stages[command.to]!,
      createRepairMessage(command, req, current.number),
    ));
    if (!last.replaced) requestMissingTokens(current);
  }

  function onStageReady(current: Attempt, node: string, report: AttemptStage['report']) {
    const stage = current.stages.find((other) => other.node === node);
    if (!stage || stage.report || current.started) return;
    Object.assign(stage, { report });
    const last = current.stages.at(-1)!;
    const otherStages = current.stages.slice(0, -1);
    if (allStagesReported(current)) start(current);
    else if (last.sent.length === 0 && otherStages.every((other) => other.report)) {
      Object.assign(last, { report: initialReport() });
      const knownTokenCount = knownTokens(
        createRepairQuery(current, spec.prompt, delivered),
      ).length;
      delete last.report;
      const peers = peersOf(current.stages);
      if (peers) offer(current, peers, current.stages.length - 1, knownTokenCount);
    }
  }

  function onToken(current: Attempt, seq: number, value: number) {
    const index = current.firstTokenIndex + seq;
    if (index === delivered.length) deliver(value);
    else if (index > delivered.length) requestMissingTokens(current);
  }

  function onEnd(current: Attempt, count: number, reason: 'stop' | 'length') {
    if (current.firstTokenIndex + count !== delivered.length) {
      requestMissingTokens(current);
      return;
    }
    close();
    sink.end(reason);
  }

  /** Rejoins a hop to an agent that is still connected a few times, then replaces the agent. */
  function onHopLost(node: string) {
    const rejoins = rejoinCounts.get(node) ?? 0;
    if (deps.agent(node) && rejoins < maxRejoins) {
      rejoinCounts.set(node, rejoins + 1);
      repair(new Set());
    } else handleLostNodes([node]);
  }

  function lossOf(node: string, { suspects = 0, loss }: Extract<Message, { t: 'fail' }>): TargetLoss {
    const { startedAt, firstTokenIndex } = attempt!;
    return {
      id: `${node}.${loss ?? startedAt}`,
      isAlone: suspects - (deps.isSuspect(req) ? 1 : 0) <= 0,
      hasBegun: delivered.length > firstTokenIndex,
      sentAt: startedAt,
    };
  }

  function onFail(node: string, message: Extract<Message, { t: 'fail' }>) {
    const targetCrashed = message.code === 'target_lost' && mayHaveRun;
    if (targetCrashed && !deps.recordCrash(spec, lossOf(node, message))) refuse('quarantined');
    else if (message.code === 'hop_lost' && message.node) onHopLost(message.node);
    else handleLostNodes([node]);
  }

  function onRefuse(node: string, code: string) {
    if (code === 'apart') waitForOtherSuspects('interrupted');
    else handleLostNodes([node], code === 'busy' ? 'overloaded' : 'no_chain');
  }

  progressWatch = createProgressWatch({
    clock: deps.clock,
    stall,
    lastProgressAt: () => (attempt?.started ? lastTokenAt : undefined),
    nodes: () => (attempt ? nodesOf(attempt) : []),
    requestStatus: (node) => deps.agent(node)?.send({
      t: 'status', req, attempt: attempt!.number,
    }),
    // If no other node serves the layers, waiting is better than ending the answer.
    canContinueWithout: (lost) => canContinueWithout(attempt!, new Set(lost)),
    onStagesFailed: (lost) => handleLostNodes(lost),
  });

  cancelDeadline = deps.clock.after(Math.max(0, timeLeft()), () => refuse('deadline'));
  deps.retries.deposit();
  offerNewChain('no_chain');

  function receive(current: Attempt, node: string, message: Message) {
    const isLast = node === current.stages.at(-1)!.node;
    if (message.t === 'token' && isLast) onToken(current, message.seq, message.token);
    else if (message.t === 'accept') onStageReady(current, node, initialReport());
    else if (message.t === 'adopted') onStageReady(current, node, { ...message, replaced: false });
    else if (message.t === 'end' && isLast) onEnd(current, message.count, message.reason);
    else if (message.t === 'refuse') onRefuse(node, message.code);
    else if (message.t === 'fail') onFail(node, message);
    else if (message.t === 'statusReply') stall.recordReply(node, message);
  }

  return {
    receive(node, message) {
      if (closed || !attempt || !('attempt' in message)) return;
      const isCurrent = message.attempt === attempt.number && nodesOf(attempt).includes(node);
      if (isCurrent) receive(attempt, node, message);
    },
    onAgentLost(node) {
      if (!closed && attempt && nodesOf(attempt).includes(node)) handleLostNodes([node]);
    },
    onAgentResumed(node) {
      const stage = attempt?.stages.find((other) => other.node === node);
      if (closed || !attempt || !stage) return;
      stage.sent.forEach((message) => deps.agent(node)?.send(message));
      if (attempt.started && stage === attempt.stages.at(-1)) requestMissingTokens(attempt);
    },
    cancel() {
      if (!closed) close();
    },
  };
}
