/**
 * Configuration of an entry that calls targets directly: routes by host and path, organisations by
 * API key, services and the models that their engines serve.
 */
import { groupBy } from './group-by.js';
import { priorityOf, type Priority } from './priority.js';

/**
 * Whether a request may run more than once:
 * - `idempotent`: always.
 * - `once`: never.
 * - `stream`: only on a route with `resumable`.
 */
export type RequestKind = 'idempotent' | 'once' | 'stream';

export interface ServingRoute {
  name: string;
  host: string;
  /** Path prefix; starts and ends with a slash. */
  prefix: string;
  kind: RequestKind;
  /** Deadline of a request in milliseconds, counted from its arrival. */
  timeoutMs: number;
  /** Latency objective in milliseconds for an answer, or for the first event of a stream. */
  objectiveMs: number;
  /** Objective in milliseconds for the time between two events of a stream. */
  maxPauseMs: number;
  /** Most targets on which one request may run. */
  maxAttempts: number;
  /** Services of the route; requests are divided in proportion to the weights. */
  split: readonly { service: string; weight: number }[];
  /** Whether requests need no API key. */
  isPublic: boolean;
  /** Whether a broken stream may be resumed on another target after its last event. */
  resumable: boolean;
  priority: Priority;
}

/** A kind of accelerator. */
export interface AcceleratorKind {
  name: string;
  /** Memory for layers and KV cache together, in MB. */
  memoryMb: number;
  /** Factor on the time of a decoding step; 1 is the reference. */
  stepFactor: number;
  /** Factor on the time of the prefill; 1 is the reference. */
  readFactor: number;
}

/**
 * The model of a service and the costs of running it. Times are for all layers, on an accelerator
 * whose factors are 1.
 */
export interface EngineModel {
  layers: number;
  layerMb: number;
  /** KV memory of one token over all layers, in bytes. */
  kvTokenBytes: number;
  /** Requests that a target accepts at once as their first stage. */
  slots: number;
  /** Time of a decoding step. */
  stepMs: number;
  /** Time that each sequence of the batch adds to a step. */
  sequenceMs: number;
  /** Time that 1,000 tokens of a sequence's context add to a step. */
  contextMsPerK: number;
  /** Prompt tokens that the prefill processes per second. */
  prefillTokensPerS: number;
  /** Seconds to load all layers. */
  loadS: number;
  /** Targets that may load layers at the same time. */
  loadsAtOnce: number;
  /** Size of the activations that a stage sends to the next one for each token. */
  activationBytes: number;
  /** Bandwidth between availability zones, shared by all requests; undefined when unlimited. */
  pipeMbps: number | undefined;
  /** Mean size of a request in tokens. */
  usual: { prompt: number; answer: number };
  kinds: readonly AcceleratorKind[];
  /** One-way milliseconds between availability zones. */
  delays: readonly { from: string; to: string; ms: number }[];
}

/** Returns the kind of accelerator with a name; undefined when the model does not list it. */
export const acceleratorKindOf = ({ kinds }: EngineModel, name: string | undefined) => kinds
  .find((kind) => kind.name === name);

export interface ServingService {
  name: string;
  healthPath: string;
  /** Connections that a target accepts from all entries together. */
  maxConnections: number;
  /** Set when the service's targets hold layers of a model; undefined for a plain service. */
  engine: EngineModel | undefined;
}

export interface ServingOrganisation {
  name: string;
  keys: readonly string[];
  /** Overrides the priority of the route; undefined if the organisation has none of its own. */
  priority: Priority | undefined;
}

/** Limits on the size of callers' requests and on the time they may take or stay idle. */
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
  /** Undefined when no route needs an API key. */
  organisations: readonly ServingOrganisation[] | undefined;
  limits: CallerLimits;
}

/** Indexed view of a configuration, built once per version. */
export interface ServingView {
  config: ServingConfig;
  /** The route of the host whose prefix is the longest match for the path; ignores the query. */
  routeOf(host: string, requestTarget: string): ServingRoute | undefined;
  organisationOf(key: string): ServingOrganisation | undefined;
  serviceOf(name: string): ServingService | undefined;
  /** Priorities that requests to a service may have, from the highest to the lowest. */
  prioritiesOf(service: string): readonly Priority[];
}

const pathOf = (requestTarget: string) => requestTarget.split('?', 1)[0]!;

/** Priorities of a route's requests, which those of organisations override. */
const prioritiesOfRoute = (route: ServingRoute, { organisations }: ServingConfig) => (
  route.isPublic || organisations === undefined
    ? [route.priority]
    : organisations.map((organisation) => priorityOf(route, organisation)));

/** Priorities of the requests to each service, in descending order. */
function prioritiesByService(config: ServingConfig): Map<string, Priority[]> {
  const priorities = config.routes.flatMap((route) => route.split
    .flatMap(({ service }) => prioritiesOfRoute(route, config)
      .map((priority) => ({ service, priority }))));
  return new Map([...groupBy(priorities, ({ service }) => service)]
    .map(([service, entries]) => [
      service,
      [...new Set(entries.map(({ priority }) => priority))].sort((a, b) => b - a),
    ]));
}

export function createServingView(config: ServingConfig): ServingView {
  const byHost = groupBy(config.routes, ({ host }) => host.toLowerCase());
  byHost.forEach((routes) => routes.sort((a, b) => b.prefix.length - a.prefix.length));
  const byKey = new Map((config.organisations ?? [])
    .flatMap((org) => org.keys.map((key) => [key, org] as const)));
  const services = new Map(config.services.map((service) => [service.name, service]));
  const priorities = prioritiesByService(config);
  return {
    config,
    routeOf(host, requestTarget) {
      const path = pathOf(requestTarget);
      return byHost.get(host.toLowerCase())?.find(({ prefix }) => path.startsWith(prefix));
    },
    organisationOf: (key) => byKey.get(key),
    serviceOf: (name) => services.get(name),
    prioritiesOf: (service) => priorities.get(service) ?? [],
  };
}

/**
 * Picks the service of a request in proportion to the weights of its route. `share` is the
 * request's random number in [0, 1). Returns undefined when the weights add up to zero.
 */
export function pickService({ split }: ServingRoute, share: number): string | undefined {
  const total = split.reduce((sum, { weight }) => sum + weight, 0);
  if (total <= 0) return undefined;
  let remaining = share * total;
  return split.find(({ weight }) => {
    remaining -= weight;
    return remaining < 0;
  })?.service;
}

/** Holds the newest configuration that this process has seen; never returns to an older one. */
export interface ServingConfigHolder {
  readonly view: ServingView | undefined;
  /** Adopts a configuration; returns false when it is not newer than the current one. */
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
