/**
 * The agent daemon. It fronts one target, an engine or a service on the same VM, and is the only
 * client of it.
 */
import Emittery from 'emittery';
import type { Logger } from 'pino';
import {
  createConfigHolder, createConfigSynchronizer, SystemClock, type Clock,
} from '@verbenashunt/core';
import type {
  AgentSettings, Hello, LoadedModel, Message, TargetState,
} from '@verbenashunt/schema';
import {
  createHeartbeats, createPeerMetrics, createPlatformClient, drain, listenForPeers, protocolVersion,
  resolvePeerTls,
} from '@verbenashunt/wire';
import { createCallTable } from './calls/call-table.js';
import { serveAgentHttp } from './http/server.js';
import { claimIncarnation } from './incarnation.js';
import { createAgentMetrics } from './metrics.js';
import { createEngineReconciler } from './orders/engine-reconciler.js';
import { createEntryPeers } from './peers/entries.js';
import { createLinks } from './peers/links.js';
import { createStageTable } from './stages/stage-table.js';
import { createEngineTarget, type EngineHandlers } from './targets/engine-target.js';
import { createServiceTarget } from './targets/service-target.js';

export interface AgentEvents {
  serving: boolean;
  draining: undefined;
  config: number;
}

export interface Agent {
  readonly peerPort: number;
  readonly httpPort: number;
  readonly events: Emittery<AgentEvents>;
  /**
   * Refuses new work, waits for requests in flight, then closes. The wait ends early at the drain
   * timeout or when `signal` is aborted; resolves to whether all requests completed before.
   */
  stop(signal?: AbortSignal): Promise<boolean>;
}

/** Replies to the sender of a message. */
type Reply = (message: Message) => void;

export interface AgentDeps {
  log: Logger;
  clock?: Clock;
  random?: () => number;
}

export async function createAgent(cfg: AgentSettings, deps: AgentDeps): Promise<Agent> {
  const { log, clock = new SystemClock(), random = Math.random } = deps;
  const events = new Emittery<AgentEvents>();
  const metrics = createAgentMetrics();
  const platform = createPlatformClient(cfg.platformUrl);
  const incarnation = await claimIncarnation(platform, cfg.target, clock);
  const maxActive = cfg.maxActive ?? 64;
  let loaded: LoadedModel[] = [];
  let accelerator: TargetState['accelerator'];
  let serving = cfg.targetKind === 'service';
  let leaving = false;
  const peerMetrics = createPeerMetrics(metrics.registry);
  const tls = resolvePeerTls(cfg);
  const heartbeats = createHeartbeats({ clock, onStall: peerMetrics.stalled });

  const config = createConfigHolder((view) => {
    metrics.setRevision(view.revision);
    log.info({ revision: view.revision }, 'configuration in force');
    events.emit('config', view.revision);
  });

  const configSynchronizer = createConfigSynchronizer(config);
  const draining = () => leaving || Boolean(config.view?.operations.drains.has(cfg.target));

  const sharedDeps = {
    incarnation,
    maxActive,
    revision: () => config.revision,
    admitting: () => serving && !draining() && config.revision > 0,
  };
  const service = createServiceTarget(cfg.targetUrl);
  const calls = createCallTable({ ...sharedDeps, clock, service });
  /* eslint-disable @typescript-eslint/no-use-before-define -- mutual use */
  const stages = createStageTable({
    ...sharedDeps,
    clock,
    loaded: () => loaded,
    sendToEngine: (op) => engine?.send(op),
    sendToHop: (hop, message) => links.send(hop, message),
    countEvent: metrics.countStageEvent,
  });
  /* eslint-enable @typescript-eslint/no-use-before-define */

  const state = (): TargetState => ({
    target: cfg.target,
    kind: cfg.targetKind,
    fleet: cfg.fleet,
    serving,
    draining: draining(),
    loaded,
    load: (cfg.targetKind === 'engine' ? stages : calls).load(),
    ...(accelerator ? { accelerator } : {}),
  });
  const hello = (): Hello => ({
    t: 'hello',
    version: protocolVersion,
    role: 'agent',
    node: cfg.node,
    zone: cfg.zone,
    region: cfg.region,
    incarnation,
    revision: config.revision,
    state: state(),
  });
  const entries = createEntryPeers({
    clock, onLost: stages.onEntryLost, onProtocolError: metrics.countProtocolError,
  });
  const broadcastState = () => entries.broadcast({ t: 'state', state: state() });
  events.on('config', broadcastState);

  function setServing(value: boolean) {
    if (serving === value) return;
    serving = value;
    metrics.setServing(value);
    log.info({ serving }, 'target serving state changed');
    events.emit('serving', value);
  }

  function applyEngineStatus(status: { loaded: LoadedModel[]; accelerator: TargetState['accelerator'] }) {
    const changed = JSON.stringify(status.loaded) !== JSON.stringify(loaded);
    ({ loaded, accelerator } = status);
    if (changed) broadcastState();
  }

  const engineReconciler = cfg.targetKind === 'engine' ? createEngineReconciler({
    cfg, clock, platform, incarnation, registry: metrics.registry, view: () => config.view,
  }) : undefined;

  const engineHandlers: EngineHandlers = {
    onOutput: stages.onEngineOutput,
    onUp(status) {
      setServing(true);
      applyEngineStatus(status);
      broadcastState();
    },
    onStatus(status) {
      applyEngineStatus(status);
      engineReconciler?.step();
    },
    onDown() {
      setServing(false);
      stages.onEngineLost();
      broadcastState();
    },
  };
  const engine = cfg.targetKind === 'engine'
    ? createEngineTarget(cfg.targetUrl, clock, engineHandlers)
    : undefined;

  /** Stops taking work because the platform lists this VM as leaving; this is never undone. */
  function leave() {
    if (leaving) return;
    leaving = true;
    log.info('the platform lists this VM as leaving; refusing new work');
    broadcastState();
  }

  const requestTable = engine ? stages : calls;
  /** Handlers by message type; messages without a handler are ignored. */
  const handlers: { [T in Message['t']]?: (message: Extract<Message, { t: T }>, reply: Reply) => void } = {
    offer: stages.offer,
    start: stages.start,
    step: stages.step,
    feed: stages.feed,
    adopt: stages.adopt,
    replay: stages.replay,
    resume: stages.resume,
    call: calls.call,
    cancel: ({ req, attempt }, reply) => requestTable.cancel(req, attempt, reply),
    status: ({ req, attempt }, reply) => requestTable.status(req, attempt, reply),
    ping: ({ n }, reply) => reply({
      t: 'pong', n, revision: config.revision, load: requestTable.load(),
    }),
    leave: (message) => {
      if (message.incarnation === incarnation) leave();
    },
  };

  function receive(message: Message, reply: Reply) {
    configSynchronizer.receive(message, reply);
    const handler = handlers[message.t] as ((message: Message, reply: Reply) => void) | undefined;
    handler?.(message, reply);
  }

  const links = createLinks({
    clock,
    random,
    hello,
    heartbeats,
    tls,
    onLinkEvent: peerMetrics.linkEvent,
    onMessage: (message) => receive(message, () => {}),
    onLost: stages.onHopLost,
    onResumed: stages.onHopLost,
  });

  const listener = await listenForPeers(cfg.host ?? '127.0.0.1', cfg.peerPort, hello, {
    onOpen: entries.onOpen,
    onMessage: (connection, message) => receive(message, entries.replyTo(connection)),
    onClose(connection, err) {
      peerMetrics.connectionClosed(err);
      entries.onClose(connection, err);
    },
  }, { clock, heartbeats, tls });
  const http = await serveAgentHttp(cfg.host ?? '127.0.0.1', cfg.httpPort, {
    ready: () => serving && !draining(),
    metrics() {
      metrics.setActive(stages.active + calls.active);
      return metrics.registry.metrics();
    },
  });
  log.info({ node: cfg.node, incarnation, peerPort: listener.port }, 'agent started');

  return {
    peerPort: listener.port,
    httpPort: http.port,
    events,
    async stop(signal) {
      leaving = true;
      broadcastState();
      log.info('draining');
      await events.emit('draining');
      const allCompleted = await drain({
        clock,
        minWaitMs: 0,
        timeoutMs: cfg.drainTimeoutMs ?? 120_000,
        signal,
        isIdle: () => stages.active + calls.active === 0,
      });
      listener.close();
      links.close();
      heartbeats.close();
      await Promise.all([
        engineReconciler?.close(), engine?.close(), service.close(), platform.close(), http.close(),
      ]);
      log.info({ whole: allCompleted }, 'stopped');
      return allCompleted;
    },
  };
}
