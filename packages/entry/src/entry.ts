/**
 * The entry daemon. Serves the HTTP APIs of callers and operators, and keeps each accepted request
 * until it ends, over all attempts at agents.
 */
import Emittery from 'emittery';
import type { Logger } from 'pino';
import {
  createConfigHolder, createConfigSynchronizer, createRefusal, listPollIntervalMs, SystemClock,
  type Clock,
} from '@verbenashunt/core';
import type { EntrySettings, Hello, Message } from '@verbenashunt/schema';
import {
  createBodyReader, createDialer, createHeartbeats, createPeerMetrics, createPlatformClient,
  createRequestMemory, drain, protocolVersion, resolvePeerTls, type BodyReader,
} from '@verbenashunt/wire';
import { createEntryAdmission } from './admission/admission.js';
import { createConfigPropagator, type ConfigPropagator } from './config/propagator.js';
import { createConfigStore } from './config/store.js';
import { createCallerHandlers } from './http/callers.js';
import { createOperatorHandlers } from './http/operators.js';
import { resolveHttpOptions } from './http/options.js';
import { closeHttp, serveEntryHttp } from './http/server.js';
import { createEntryMetrics } from './metrics.js';
import { createAgentPeers } from './peers/agents.js';
import { createCallRecords } from './requests/call-records.js';
import { createFences } from './requests/fences.js';
import { createRequestRegistry } from './requests/registry.js';
import { createQuarantine } from './requests/quarantine.js';
import { createEntryRetryBudget } from './requests/retries.js';
import { createRequestStarter } from './requests/starter.js';
import { createRouting } from './routing/routing.js';
import { createUsage } from './usage/usage.js';

/** Maximum time in milliseconds to wait at shutdown for usage records to be stored. */
const usageFlushMs = 5000;

export interface EntryEvents {
  /** The revision that was adopted. */
  config: number;
}

export interface Entry {
  readonly httpPort: number;
  readonly peerPort: number;
  readonly events: Emittery<EntryEvents>;
  /**
   * Refuses new requests, waits for those in flight, then closes. Resolves to whether all of them
   * completed; the rest are aborted at the drain timeout or when `signal` aborts.
   */
  stop(signal?: AbortSignal): Promise<boolean>;
}

export interface EntryDeps {
  log: Logger;
  clock?: Clock;
  random?: () => number;
}

export async function createEntry(cfg: EntrySettings, deps: EntryDeps): Promise<Entry> {
  const { log, clock = new SystemClock(), random = Math.random } = deps;
  const incarnation = clock.wall();
  const events = new Emittery<EntryEvents>();
  const metrics = createEntryMetrics();
  const platform = createPlatformClient(cfg.platformUrl, {
    onInvalidVms: (count) => log.warn({ count }, 'entries of the VM list are ignored as invalid'),
  });
  const fences = createFences(clock);
  const requestTimeoutMs = cfg.requestTimeoutMs ?? 60_000;
  let stopping = false;
  let otherEntries: string[] = [];
  let pollingVms = true;
  let sequence = 0;
  let cancelVmPoll = () => {};
  let propagator: ConfigPropagator | undefined;

  const config = createConfigHolder((view) => {
    metrics.setRevision(view.revision);
    log.info({ revision: view.revision }, 'configuration in force');
    propagator?.propagate();
    events.emit('config', view.revision);
  });
  const synchronizer = createConfigSynchronizer(config);
  const store = createConfigStore({
    platform, clock, random, config,
  });

  const hello = (): Hello => ({
    t: 'hello',
    version: protocolVersion,
    role: 'entry',
    node: cfg.node,
    zone: cfg.zone,
    region: cfg.region,
    incarnation,
    revision: config.revision,
  });

  const usage = createUsage({
    clock, node: cfg.node, incarnation, platform, registry: metrics.registry,
  });
  const registry = createRequestRegistry(metrics.countProtocolError);

  function receive(node: string, message: Message) {
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual reference
    synchronizer.receive(message, (reply) => peers.get(node)?.send(reply));
    registry.receive(node, message);
  }

  const peerMetrics = createPeerMetrics(metrics.registry);
  const heartbeats = createHeartbeats({ clock, onStall: peerMetrics.stalled });
  const peers = createAgentPeers({
    clock,
    random,
    hello,
    heartbeats,
    dial: (options) => createDialer({ ...options, tls: resolvePeerTls(cfg) }),
    isDrained: (target) => config.view?.operations.drains.has(target) ?? false,
    onLinkEvent: peerMetrics.linkEvent,
    onMessage: receive,
    onOpen: ({ peer, send }) => synchronizer.onPeerRevision(peer.revision, send),
    onLost: registry.onAgentLost,
    onResumed(node) {
      registry.onAgentResumed(node);
      fences.resend(node, peers.get(node)?.send);
    },
  });

  async function pollVms() {
    try {
      const vms = await platform.listVms();
      peers.update(vms);
      otherEntries = vms.filter(({ id, role, state }) => role === 'entry' && state === 'live'
        && id !== cfg.node).map(({ id }) => id);
      propagator?.update(vms);
      metrics.setAgents(peers.list().length);
    } catch {
      // The previous list stays in use; connected agents report their state themselves.
    }
    if (!pollingVms) return;
    const periodMs = listPollIntervalMs(cfg.vmPollMs ?? 1000, peers.sizes.listed);
    cancelVmPoll = clock.after(periodMs * (0.75 + random() / 2), pollVms);
  }

  const routing = createRouting({
    clock, place: cfg, peers, random,
  });
  const quarantine = createQuarantine({
    clock,
    random,
    platform,
    entry: cfg.node,
    onQuarantined: (fingerprint) => log.warn({ fingerprint }, 'request quarantined'),
  });
  const admission = createEntryAdmission({
    clock,
    config,
    routing,
    maxQueue: cfg.maxQueue ?? 1000,
    otherEntries: () => otherEntries,
    ...createRequestStarter({
      clock,
      random,
      entry: cfg.node,
      revision: () => config.revision,
      retries: createEntryRetryBudget(clock),
      fences,
      records: createCallRecords(platform),
      registry,
      peers,
      routing,
      quarantine,
    }),
  });

  const memory = createRequestMemory({ maxBufferedBytes: cfg.maxBufferedBytes ?? 67_108_864 });
  const readRequestBody = createBodyReader(memory);
  const readBody: BodyReader = async (req, limits) => {
    const body = await readRequestBody(req, limits);
    memory.of(req)?.keep();
    return body;
  };
  const { interruptAll, ...callers } = createCallerHandlers({
    clock,
    config,
    metrics,
    readBody,
    maxBodyBytes: cfg.maxBodyBytes ?? 1_048_576,
    maxPromptTokens: cfg.maxPromptTokens ?? 131_072,
    maxStreamBacklogBytes: cfg.maxStreamBacklogBytes ?? 262_144,
    requestTimeoutMs,
    stopping: () => stopping,
    nextId() {
      sequence += 1;
      return `${cfg.node}-${incarnation.toString(36)}-${sequence}`;
    },
    generate(spec, callerSink) {
      if (quarantine.isQuarantined(spec)) throw createRefusal('quarantined');
      return usage.generation(spec, callerSink, (sink) => admission.generate(spec, sink));
    },
    call: (spec, targets, callerSink) => usage
      .call(spec, callerSink, (sink) => admission.call(spec, targets, sink)),
  });

  const operators = createOperatorHandlers({
    config,
    store,
    readBody,
    quarantine,
    bootstrapOperatorHash: cfg.bootstrapOperatorHash,
    state: () => ({
      node: cfg.node,
      revision: config.revision,
      inFlight: registry.size,
      agents: peers.list().map(({ send, ...peer }) => peer),
      requests: registry.list().map((info) => ({
        ...info, nodes: quarantine.nodesOf(info.req), suspect: quarantine.isSuspect(info.req),
      })),
    }),
  });

  propagator = await createConfigPropagator({
    clock,
    random,
    config,
    synchronizer,
    store,
    hello,
    heartbeats,
    node: cfg.node,
    zone: cfg.zone,
    host: cfg.host ?? '127.0.0.1',
    peerPort: cfg.peerPort,
    pollMs: cfg.headPollMs ?? 1000,
    broadcast: peers.broadcast,
  });
  await pollVms();
  const http = await serveEntryHttp(resolveHttpOptions(cfg, memory, () => stopping), {
    health: {
      ready: () => config.view !== undefined && !stopping,
      metrics() {
        metrics.setInFlight(registry.size);
        return metrics.registry.metrics();
      },
    },
    ...callers,
    ...operators,
  });
  log.info({ node: cfg.node, incarnation, httpPort: http.port }, 'entry started');

  return {
    httpPort: http.port,
    peerPort: propagator.port,
    events,
    async stop(signal) {
      stopping = true;
      log.info('draining');
      const drained = await drain({
        clock,
        minWaitMs: cfg.stopNoticeMs ?? 1000,
        timeoutMs: cfg.drainTimeoutMs ?? 120_000,
        signal,
        isIdle: () => registry.size === 0 && http.active === 0,
      });
      if (!drained) interruptAll();
      pollingVms = false;
      cancelVmPoll();
      propagator?.close();
      quarantine.close();
      admission.close();
      peers.close();
      heartbeats.close();
      await Promise.all([closeHttp(http, clock, drained), usage.close(usageFlushMs)]);
      await platform.close();
      log.info({ whole: drained }, 'stopped');
      return drained;
    },
  };
}
