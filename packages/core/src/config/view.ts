/** Look-ups over an accepted configuration, built once per revision. */
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
  /** Drains and pins that operators set. */
  operations: Operations;
  /** The organisation that owns a bearer key of this SHA-256. */
  organisationOf(keyHash: string): OrganisationDecl | undefined;
  operatorOf(keyHash: string): string | undefined;
  hasOperators: boolean;
  fleetOf(name: string): FleetDecl | undefined;
  modelOf(name: string): { fleet: string; model: ModelDecl } | undefined;
  /** The route with the longest prefix of the path that allows the method. */
  routeOf(method: string, path: string): RouteMatch | undefined;
}

export interface ConfigContent {
  revision: number;
  declarations: Declarations;
  operations?: Operations;
}

const noOperations: Operations = { drains: new Map(), pins: new Map() };

const covers = (prefix: string, path: string) => path === prefix
  || path.startsWith(prefix.endsWith('/') ? prefix : `${prefix}/`);

const allows = ({ methods }: RouteDecl, method: string) => !methods
  || methods.some((allowed) => allowed === method);

/** Builds the look-ups for a revision. */
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
      .find(({ route }) => covers(route.prefix, path) && allows(route, method)),
  };
}

const safeMethods = new Set(['GET', 'HEAD', 'OPTIONS']);

/** Whether calls of a route may be repeated; safe methods may unless the route says otherwise. */
export const isRepeatable = (route: RouteDecl, method: string) => route.repeatable
  ?? safeMethods.has(method);
