/**
 * The configuration as a flat map of items, so that a revision is a small list of changes and two
 * commands conflict only when they change the same item.
 */
import { validators } from '@verbenashunt/schema';
import type {
  Change, Declarations, DrainOperation, FleetDecl, PinOperation, RouteDecl,
} from '@verbenashunt/schema';
import { DeclarationError } from '../errors/errors.js';
import { canonicalJson, sha256 } from './canonical.js';

/** Canonical JSON by item id. */
export type Items = ReadonlyMap<string, string>;

/** Drains and pins by target; operators set them separately from the declarations. */
export interface Operations {
  drains: ReadonlyMap<string, DrainOperation>;
  pins: ReadonlyMap<string, PinOperation>;
}

const fleetListKeys = ['models', 'targets', 'routes'] as const;
const topLevelListKeys = ['organisations', 'operators'] as const;
const singular = (plural: string) => plural.slice(0, -1);

export const drainItem = (target: string) => `drain/${target}`;
export const pinItem = (target: string) => `pin/${target}`;

/** Whether an item is a drain or a pin rather than a declaration. */
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

/** Converts declarations to items. Throws DeclarationError when two have the same id. */
export function itemsOf(declarations: Declarations): Map<string, string> {
  const entries: [string, unknown][] = [
    ...declarations.fleets.flatMap(itemsOfFleet),
    ...topLevelListKeys.flatMap((key) => (declarations[key] ?? [])
      .map((decl): [string, unknown] => [`${singular(key)}/${decl.name}`, decl])),
  ];
  const items = new Map(entries.map(([item, value]) => [item, canonicalJson(value)]));
  if (items.size < entries.length) {
    const seen = new Set<string>();
    const duplicate = entries.find(([item]) => seen.size === seen.add(item).size)![0];
    throw new DeclarationError(`${duplicate} is declared twice`);
  }
  return items;
}

const sortedEntries = (items: Items) => [...items].sort(([a], [b]) => (a < b ? -1 : 1));

function valuesWithPrefix(entries: [string, string][], prefix: string): unknown[] {
  return entries.filter(([item]) => item.startsWith(prefix)).map(([, text]) => JSON.parse(text));
}

function fleetsOf(entries: [string, string][]): unknown[] {
  const fleetEntries = entries.filter(([item]) => item.startsWith('fleet/'));
  return fleetEntries.filter(([item]) => item.split('/').length === 2).map(([root, text]) => {
    const fleetItems = fleetEntries.filter(([item]) => item.startsWith(`${root}/`));
    const parts = fleetListKeys.map((key) => [key, valuesWithPrefix(fleetItems, `${root}/${singular(key)}/`)]);
    return {
      ...JSON.parse(text) as object, name: root.slice('fleet/'.length), ...Object.fromEntries(parts),
    };
  });
}

/**
 * Converts items back to declarations, sorted by item id. Throws DeclarationError when the result
 * does not match its schema.
 */
export function declarationsOf(items: Items): Declarations {
  const entries = sortedEntries(items);
  const declarations: unknown = {
    fleets: fleetsOf(entries),
    organisations: valuesWithPrefix(entries, 'organisation/'),
    operators: valuesWithPrefix(entries, 'operator/'),
  };
  if (validators.declarations(declarations)) return declarations;
  const issue = validators.declarations.errors?.[0];
  throw new DeclarationError(`${issue?.instancePath} ${issue?.message}`);
}

/** The drains and pins among the items. */
export function operationsOf(items: Items): Operations {
  const itemsByName = <T>(prefix: string) => new Map([...items]
    .filter(([item]) => item.startsWith(prefix))
    .map(([item, text]) => [item.slice(prefix.length), JSON.parse(text) as T]));
  return { drains: itemsByName<DrainOperation>('drain/'), pins: itemsByName<PinOperation>('pin/') };
}

/** Hash of all items, independent of their order. */
export const hashOfItems = (items: Items) => sha256(sortedEntries(items)
  .map(([item, text]) => `${item}\t${text}\n`).join(''));

/** Returns a copy of the items with the changes applied; a change without a value deletes. */
export function applyChanges(items: Items, changes: readonly Change[]): Map<string, string> {
  const after = new Map(items);
  changes.forEach(({ item, value }) => {
    if (value === undefined) after.delete(item);
    else after.set(item, value);
  });
  return after;
}

/**
 * The changes that turn the declarations in `before` into those in `after`, sorted by item id.
 * Drains and pins in `before` are left as they are.
 */
export function diffItems(before: Items, after: Items): Change[] {
  const removed = [...before.keys()]
    .filter((item) => !isOperation(item) && !after.has(item))
    .map((item): Change => ({ item }));
  const set = [...after]
    .filter(([item, value]) => before.get(item) !== value)
    .map(([item, value]): Change => ({ item, value }));
  return [...removed, ...set].sort((a, b) => (a.item < b.item ? -1 : 1));
}
