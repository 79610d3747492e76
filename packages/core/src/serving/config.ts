/**
 * Configuration of an entry that calls targets directly: routes by host and path, organisations by
 * key, services and their engines.
 */
import { groupBy } from './group-by.js';

/**
 * What may be repeated: `idempotent` calls at will, `once` calls never, `stream` answers where the
 * route lets them resume.
 */
export type RequestKind = 'idempotent' | 'once' | 'stream';

export interface ServingRoute {
  name: string;
  host: string;
  /** Starts and ends with a slash. */
  prefix: string;
  kind: RequestKind;
  /** Longest time that a request may be kept waiting, in milliseconds. */
  timeoutMs: number;
  /** Time within which an answer, or the first event of a stream, is on time. */
  objectiveMs: number;
  /** Longest pause between events that is on time. */
  maxPauseMs: number;
  /** Targets to which one request may be sent. */
  maxAttempts: number;
  /** Services and their shares of the route's requests. */
  split: readonly { service: string; weight: number }[];
  /** Needs no key. */
  isPublic: boolean;
  /** A broken stream may go on at another target after its last event. */
  resumable: boolean;
}

/** A kind of accelerator. */
export interface EngineKind {
  name: string;
  /** Memory for layers and KV cache in MB. */
  memoryMb: number;
  /** Factor on the time of a decoding step. */
  stepFactor: number;
  /** Factor on the time of reading a prompt. */
  readFactor: number;
}

/** The model of a service and what its engines cost. Times are for all layers at factor 1. */
export interface EngineModel {
  layers: number;
  layerMb: number;
  /** KV memory of one token over all layers, in bytes. */
  kvTokenBytes: number;
  /** Requests that a target takes as the first stage. */
  slots: number;
  stepMs: number;
  /** Added to a step by each sequence of the batch. */
  sequenceMs: number;
  /** Added to a step by 1,000 tokens of a sequence's context. */
  contextMsPerK: number;
  readTokensPerS: number;
  /** Seconds to load all layers. */
  loadS: number;
  loadsAtOnce: number;
  /** Bytes that one token carries from stage to stage. */
  activationBytes: number;
  /** Bandwidth between availability zones, shared by all. */
  pipeMbps: number | undefined;
  /** Mean tokens. */
  usual: { prompt: number; answer: number };
  kinds: readonly EngineKind[];
  /** One-way milliseconds between availability zones. */
  delays: readonly { from: string; to: string; ms: number }[];
}

/** The kind of accelerator with a name; undefined where the model's engines have none such. */
export const kindOf = ({ kinds }: EngineModel, name: string | undefined) => kinds
  .find((kind) => kind.name === name);

export interface ServingService {
  name: string;
  healthPath: string;
  /** Connections that a target accepts from all entries together. */
  maxConnections: number;
  /** Present where targets hold layers of a model. */
  engine: EngineModel | undefined;
}

export interface ServingOrganisation {
  name: string;
  keys: readonly string[];
  priority: number | undefined;
}

/** Bounds on what a caller may send and how long it may take or stay idle. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

export interface ServingConfig {
  version: number;
  routes: readonly ServingRoute[];
  services: readonly ServingService[];
  /** Undefined where callers need no key. */
  organisations: readonly ServingOrganisation[] | undefined;
  limits: CallerLimits;
}

/** Look-ups over a configuration, built once per version. */
export interface ServingView {
  config: ServingConfig;
  /** The route of the host with the longest prefix that begins the path. */
  routeOf(host: string, path: string): ServingRoute | undefined;
  organisationOf(key: string): ServingOrganisation | undefined;
  serviceOf(name: string): ServingService | undefined;
}

const pathOf = (target: string) => target.split('?', 1)[0]!;

export function createServingView(config: ServingConfig): ServingView {
  const byHost = groupBy(config.routes, ({ host }) => host.toLowerCase());
  byHost.forEach((routes) => routes.sort((a, b) => b.prefix.length - a.prefix.length));
  const byKey = new Map((config.organisations ?? [])
    .flatMap((org) => org.keys.map((key) => [key, org] as const)));
  const services = new Map(config.services.map((service) => [service.name, service]));
  return {
    config,
    routeOf(host, target) {
      const path = pathOf(target);
      return byHost.get(host.toLowerCase())?.find(({ prefix }) => path.startsWith(prefix));
    },
    organisationOf: (key) => byKey.get(key),
    serviceOf: (name) => services.get(name),
  };
}

/** Picks the service of a request by the weights of its route; `share` lies in [0, 1). */
export function pickService({ split }: ServingRoute, share: number): string | undefined {
  const total = split.reduce((sum, { weight }) => sum + weight, 0);
  if (total <= 0) return undefined;
  let left = share * total;
  return split.find(({ weight }) => {
    left -= weight;
    return left < 0;
  })?.service;
}

/** The newest configuration that this process has seen. It never goes back. */
export interface ServingConfigHolder {
  readonly view: ServingView | undefined;
  /** Adopts a newer configuration; false for one that was passed already. */
  offer(config: ServingConfig): boolean;
}

export function createServingConfigHolder(
  onAdopted: (view: ServingView) => void = () => {},
): ServingConfigHolder {
  let view: ServingView | undefined;
  return {
    get view() {
      return view;
    },
    offer(config) {
      if (view && config.version <= view.config.version) return false;
      view = createServingView(config);
      onAdopted(view);
      return true;
    },
  };
}
