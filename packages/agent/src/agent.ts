/** The agent: the only voice to the target beside it. */
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
import { takeIncarnation } from './incarnation.js';
import { createAgentMetrics } from './metrics.js';
import { createOrders } from './orders/orders.js';
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
   * Takes no new work, waits for what is in flight, then closes. Resolves to whether all ran to
   * its end; it is cut off at the drain timeout and when `hurry` aborts.
   */
  stop(hurry?: AbortSignal): Promise<boolean>;
}

/** Sends an answer to the peer that a message came from. */
type Reply = (answer: Message) => void;

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
  const incarnation = await takeIncarnation(platform, cfg.target, clock);
  const maxActive = cfg.maxActive ?? 64;
  let loaded: LoadedModel[] = [];
  let accelerator: TargetState['accelerator'];
  let serving = cfg.targetKind === 'service';
  let leaving = false;
  const peerMetrics = createPeerMetrics(metrics.registry);
  const tls = resolvePeerTls(cfg);
  const heartbeats = createHeartbeats({ clock, onStall: peerMetrics.stalled });

  const config = createConfigHolder((view) => {
    metrics.revision(view.revision);
    log.info({ revision: view.revision }, 'configuration in force');
    events.emit('config', view.revision);
  });

  const leveller = createConfigSynchronizer(config);
  const draining = () => leaving || Boolean(config.view?.operations.drains.has(cfg.target));

  const common = {
    incarnation,
    maxActive,
    revision: () => config.revision,
    admitting: () => serving && !draining() && config.revision > 0,
  };
  const service = createServiceTarget(cfg.targetUrl);
  const calls = createCallTable({ ...common, clock, service });
  /* eslint-disable @typescript-eslint/no-use-before-define -- table and target know each other */
  const stages = createStageTable({
    ...common,
    clock,
    loaded: () => loaded,
    run: (op) => engine?.run(op),
    forward: (hop, message) => links.send(hop, message),
    count: metrics.stage,
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
    clock, onLost: stages.entryLost, onProtocolError: metrics.protocolErrors,
  });
  const tellEntries = () => entries.broadcast({ t: 'state', state: state() });
  events.on('config', tellEntries);

  function setServing(value: boolean) {
    if (serving === value) return;
    serving = value;
    metrics.serving(value);
    log.info({ serving }, 'target state');
    events.emit('serving', value);
  }

  function setLoaded(status: { loaded: LoadedModel[]; accelerator: TargetState['accelerator'] }) {
    const changed = JSON.stringify(status.loaded) !== JSON.stringify(loaded);
    ({ loaded, accelerator } = status);
    if (changed) tellEntries();
  }

  const orders = cfg.targetKind === 'engine' ? createOrders({
    cfg, clock, platform, incarnation, registry: metrics.registry, view: () => config.view,
  }) : undefined;

  const engineHandlers: EngineHandlers = {
    onOutput: stages.output,
    onUp(status) {
      setServing(true);
      setLoaded(status);
      tellEntries();
    },
    onStatus(status) {
      setLoaded(status);
      orders?.step();
    },
    onDown() {
      setServing(false);
      stages.engineLost();
      tellEntries();
    },
  };
  const engine = cfg.targetKind === 'engine'
    ? createEngineTarget(cfg.targetUrl, clock, engineHandlers)
    : undefined;

  /** The platform's list says that this VM is leaving; it holds until the process ends. */
  function leave() {
    if (leaving) return;
    leaving = true;
    log.info('leaving by the platform list');
    tellEntries();
  }

  const requests = engine ? stages : calls;
  /** What each message does; those that an agent does not take are dropped. */
  const handlers: { [T in Message['t']]?: (message: Extract<Message, { t: T }>, reply: Reply) => void } = {
    offer: stages.offer,
    start: stages.start,
    step: stages.step,
    feed: stages.feed,
    adopt: stages.adopt,
    replay: stages.replay,
    resume: stages.resume,
    call: calls.call,
    cancel: ({ req, attempt }, reply) => requests.cancel(req, attempt, reply),
    status: ({ req, attempt }, reply) => requests.status(req, attempt, reply),
    ping: ({ n }, reply) => reply({
      t: 'pong', n, revision: config.revision, load: requests.load(),
    }),
    leave: (message) => {
      if (message.incarnation === incarnation) leave();
    },
  };

  function receive(message: Message, reply: Reply) {
    leveller.receive(message, reply);
    const handler = handlers[message.t] as ((message: Message, reply: Reply) => void) | undefined;
    handler?.(message, reply);
  }

  const links = createLinks({
    clock,
    random,
    hello,
    heartbeats,
    tls,
    count: peerMetrics.linkEvent,
    onMessage: (message) => receive(message, () => {}),
    onLost: stages.hopLost,
    onResumed: stages.hopLost,
  });

  const listener = await listenForPeers(cfg.host ?? '127.0.0.1', cfg.peerPort, hello, {
    onOpen: entries.opened,
    onMessage: (connection, message) => receive(message, entries.replyTo(connection)),
    onClose(connection, err) {
      peerMetrics.connectionClosed(err);
      entries.closed(connection, err);
    },
  }, { clock, heartbeats, tls });
  const http = await serveAgentHttp(cfg.host ?? '127.0.0.1', cfg.httpPort, {
    ready: () => serving && !draining(),
    metrics() {
      metrics.active(stages.active + calls.active);
      return metrics.registry.metrics();
    },
  });
  log.info({ node: cfg.node, incarnation, peerPort: listener.port }, 'agent started');

  return {
    peerPort: listener.port,
    httpPort: http.port,
    events,
    async stop(hurry) {
      leaving = true;
      tellEntries();
      log.info('draining');
      await events.emit('draining');
      const whole = await drain({
        clock,
        minWaitMs: 0,
        timeoutMs: cfg.drainTimeoutMs ?? 120_000,
        signal: hurry,
        isIdle: () => stages.active + calls.active === 0,
      });
      listener.close();
      links.close();
      heartbeats.close();
      await Promise.all([
        orders?.close(), engine?.close(), service.close(), platform.close(), http.close(),
      ]);
      log.info({ whole }, 'stopped');
      return whole;
    },
  };
}
