/**
 * The configuration as a flat set of items, so that a revision is a small list of changes and two
 * commands conflict only when they touch the same item.
 */
import { validators } from '@verbenashunt/schema';
import type {
  Change, Declarations, DrainOperation, FleetDecl, PinOperation, RouteDecl,
} from '@verbenashunt/schema';
import { DeclarationError } from '../errors/errors.js';
import { canonicalJson, sha256 } from './canonical.js';

/** Canonical JSON by item id. */
export type Items = ReadonlyMap<string, string>;

/** Changes of operators that stand beside the declarations. */
export interface Operations {
  drains: ReadonlyMap<string, DrainOperation>;
  pins: ReadonlyMap<string, PinOperation>;
}

const fleetParts = ['models', 'targets', 'routes'] as const;
const topParts = ['organisations', 'operators'] as const;
const singular = (part: string) => part.slice(0, -1);

export const drainItem = (target: string) => `drain/${target}`;
export const pinItem = (target: string) => `pin/${target}`;

/** Whether an item is set by drain, undrain, pin or release and not by declarations. */
export const isOperation = (item: string) => item.startsWith('drain/') || item.startsWith('pin/');

const routeKey = ({ prefix, methods }: RouteDecl) => `${methods ? [...methods].sort().join(',') : '*'}:${prefix}`;

function itemsOfFleet(fleet: FleetDecl): [string, unknown][] {
  const {
    name, models, targets, routes, ...rest
  } = fleet;
  const root = `fleet/${name}`;
  return [
    [root, rest],
    ...(models ?? []).map((m): [string, unknown] => [`${root}/model/${m.name}`, m]),
    ...(targets ?? []).map((t): [string, unknown] => [`${root}/target/${t.name}`, t]),
    ...(routes ?? []).map((r): [string, unknown] => [`${root}/route/${routeKey(r)}`, r]),
  ];
}

/** The items of declarations. Throws DeclarationError when two of them have one name. */
export function itemsOf(declarations: Declarations): Map<string, string> {
  const entries: [string, unknown][] = [
    ...declarations.fleets.flatMap(itemsOfFleet),
    ...topParts.flatMap((part) => (declarations[part] ?? [])
      .map((decl): [string, unknown] => [`${singular(part)}/${decl.name}`, decl])),
  ];
  const items = new Map(entries.map(([item, value]) => [item, canonicalJson(value)]));
  if (items.size < entries.length) {
    const seen = new Set<string>();
    const twice = entries.find(([item]) => seen.size === seen.add(item).size)![0];
    throw new DeclarationError(`${twice} is declared twice`);
  }
  return items;
}

const sortedEntries = (items: Items) => [...items].sort(([a], [b]) => (a < b ? -1 : 1));

function valuesUnder(entries: [string, string][], prefix: string): unknown[] {
  return entries.filter(([item]) => item.startsWith(prefix)).map(([, text]) => JSON.parse(text));
}

function fleetsOf(entries: [string, string][]): unknown[] {
  const inFleets = entries.filter(([item]) => item.startsWith('fleet/'));
  return inFleets.filter(([item]) => item.split('/').length === 2).map(([root, text]) => {
    const own = inFleets.filter(([item]) => item.startsWith(`${root}/`));
    const parts = fleetParts.map((part) => [part, valuesUnder(own, `${root}/${singular(part)}/`)]);
    return {
      ...JSON.parse(text) as object, name: root.slice('fleet/'.length), ...Object.fromEntries(parts),
    };
  });
}

/** Declarations made of items, in order of their names. Throws DeclarationError when not valid. */
export function declarationsOf(items: Items): Declarations {
  const entries = sortedEntries(items);
  const declarations: unknown = {
    fleets: fleetsOf(entries),
    organisations: valuesUnder(entries, 'organisation/'),
    operators: valuesUnder(entries, 'operator/'),
  };
  if (validators.declarations(declarations)) return declarations;
  const issue = validators.declarations.errors?.[0];
  throw new DeclarationError(`${issue?.instancePath} ${issue?.message}`);
}

/** The operators' changes among items. */
export function operationsOf(items: Items): Operations {
  const under = <T>(prefix: string) => new Map([...items]
    .filter(([item]) => item.startsWith(prefix))
    .map(([item, text]) => [item.slice(prefix.length), JSON.parse(text) as T]));
  return { drains: under<DrainOperation>('drain/'), pins: under<PinOperation>('pin/') };
}

/** Hash of all items; equal sets of items have equal hashes. */
export const hashOfItems = (items: Items) => sha256(sortedEntries(items)
  .map(([item, text]) => `${item}\t${text}\n`).join(''));

/** Items after changes. */
export function applyChanges(items: Items, changes: readonly Change[]): Map<string, string> {
  const after = new Map(items);
  changes.forEach(({ item, value }) => {
    if (value === undefined) after.delete(item);
    else after.set(item, value);
  });
  return after;
}

/** The changes that lead from the declarations in `before` to those in `after`, by item. */
export function diffItems(before: Items, after: Items): Change[] {
  const removed = [...before.keys()]
    .filter((item) => !isOperation(item) && !after.has(item))
    .map((item): Change => ({ item }));
  const set = [...after]
    .filter(([item, value]) => before.get(item) !== value)
    .map(([item, value]): Change => ({ item, value }));
  return [...removed, ...set].sort((a, b) => (a.item < b.item ? -1 : 1));
}
