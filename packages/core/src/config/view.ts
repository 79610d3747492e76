/** Read-only lookups in one revision of the configuration. */
import type {
  Declarations, FleetDecl, ModelDecl, OrganisationDecl, RouteDecl,
} from '@verbenashunt/schema';
import type { Operations } from './items.js';

export interface RouteMatch {
  fleet: string;
  route: RouteDecl;
}

export interface ConfigView {
  revision: number;
  declarations: Declarations;
  operations: Operations;
  /** The organisation whose bearer key has this SHA-256 hash. */
  organisationOf(keyHash: string): OrganisationDecl | undefined;
  /** Name of the operator whose bearer key has this SHA-256 hash. */
  operatorOf(keyHash: string): string | undefined;
  hasOperators: boolean;
  fleetOf(name: string): FleetDecl | undefined;
  modelOf(name: string): { fleet: string; model: ModelDecl } | undefined;
  /** The route with the longest prefix that matches the path, among those that allow the method. */
  routeOf(method: string, path: string): RouteMatch | undefined;
}

export interface ConfigContent {
  revision: number;
  declarations: Declarations;
  operations?: Operations;
}

const noOperations: Operations = { drains: new Map(), pins: new Map() };

/** Whether the prefix matches whole segments of the path. */
const matchesPrefix = (prefix: string, path: string) => path === prefix
  || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);

const allowsMethod = ({ methods }: RouteDecl, method: string) => !methods
  || methods.some((allowed) => allowed === method);

export function createConfigView({
  revision, declarations, operations = noOperations,
}: ConfigContent): ConfigView {
  const organisations = new Map(declarations.organisations
    .flatMap((org) => org.keyHashes.map((hash) => [hash, org] as const)));
  const operators = new Map((declarations.operators ?? [])
    .flatMap((op) => op.keyHashes.map((hash) => [hash, op.name] as const)));
  const fleets = new Map(declarations.fleets.map((fleet) => [fleet.name, fleet]));
  const models = new Map(declarations.fleets.flatMap(({ name, models: list = [] }) => list
    .map((model) => [model.name, { fleet: name, model }] as const)));
  const routes = declarations.fleets
    .flatMap(({ name, routes: list = [] }) => list.map((route) => ({ fleet: name, route })))
    .sort((a, b) => b.route.prefix.length - a.route.prefix.length);
  return {
    revision,
    declarations,
    operations,
    organisationOf: (keyHash) => organisations.get(keyHash),
    operatorOf: (keyHash) => operators.get(keyHash),
    hasOperators: operators.size > 0,
    fleetOf: (name) => fleets.get(name),
    modelOf: (name) => models.get(name),
    routeOf: (method, path) => routes
      .find(({ route }) => matchesPrefix(route.prefix, path) && allowsMethod(route, method)),
  };
}

const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

/** Whether calls may be repeated: as the route declares, by default for safe methods only. */
export const isRepeatable = (route: RouteDecl, method: string) => route.repeatable
  ?? safeMethods.has(method);
