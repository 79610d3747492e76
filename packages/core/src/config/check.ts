/** Validates a whole configuration: canonical form, references between items, and ranges. */
import { validators, type Declarations, type FleetDecl } from '@verbenashunt/schema';
import { DeclarationError } from '../errors/errors.js';
import { canonicalJson } from './canonical.js';
import {
  declarationsOf, isOperation, itemsOf, operationsOf, type Items,
} from './items.js';

const namesOf = (list: readonly { name: string }[] | undefined) => new Set((list ?? [])
  .map(({ name }) => name));

function fleetErrors({
  name, models, targets, routes,
}: FleetDecl): string[] {
  const targetNames = namesOf(targets);
  const layerCountByModel = new Map((models ?? []).map((m) => [m.name, m.layers]));
  const routeErrors = (routes ?? []).flatMap((route) => route.targets
    .filter((target) => !targetNames.has(target))
    .map((target) => `fleet/${name}: route ${route.prefix} names the unknown target ${target}`));
  const pinErrors = (targets ?? []).flatMap(({ name: target, pin }) => {
    if (!pin) return [];
    const layers = layerCountByModel.get(pin.model);
    if (layers === undefined) return [`fleet/${name}: target ${target} is pinned to the unknown model ${pin.model}`];
    const fits = pin.lo < pin.hi && pin.hi <= layers;
    return fits ? [] : [`fleet/${name}: target ${target} is pinned outside [0, ${layers})`];
  });
  return [...routeErrors, ...pinErrors];
}

function nameErrors({ fleets, organisations }: Declarations): string[] {
  const fleetNames = namesOf(fleets);
  const targets = fleets.flatMap((fleet) => (fleet.targets ?? []).map(({ name }) => name));
  const duplicates = targets.filter((name, i) => targets.indexOf(name) !== i);
  return [
    ...duplicates.map((name) => `target ${name} stands in two fleets`),
    ...organisations.flatMap(({ name, fleets: allowedFleets = [] }) => allowedFleets
      .filter((fleet) => !fleetNames.has(fleet))
      .map((fleet) => `organisation/${name} names the unknown fleet ${fleet}`)),
  ];
}

function operationErrors(items: Items, declarations: Declarations): string[] {
  const targets = new Set(declarations.fleets.flatMap((f) => (f.targets ?? []).map((t) => t.name)));
  const layerCountByModel = new Map(declarations.fleets.flatMap((f) => (f.models ?? [])
    .map((m) => [m.name, m.layers] as const)));
  const { drains, pins } = operationsOf(items);
  return [
    ...[...drains].flatMap(([target, drain]) => (validators.drainOperation(drain) && targets.has(target) ? [] : [`drain/${target}: no such target`])),
    ...[...pins].flatMap(([target, pin]) => (validators.pinOperation(pin) && targets.has(target)
      && pin.lo < pin.hi && pin.hi <= (layerCountByModel.get(pin.model) ?? 0)
      ? []
      : [`pin/${target}: no such target, model or layers`])),
  ];
}

function isJson(text: string): boolean {
  try {
    JSON.parse(text);
    return true;
  } catch {
    return false;
  }
}

/** Errors of items that are not canonical JSON or whose id does not match their content. */
function formErrors(items: Items, declarations: Declarations): string[] {
  const rebuilt = itemsOf(declarations);
  return [...items].filter(([item, text]) => (isOperation(item)
    ? canonicalJson(JSON.parse(text)) !== text
    : rebuilt.get(item) !== text)).map(([item]) => `${item} does not have the form of its kind`);
}

/** Throws DeclarationError with the first error that is found. */
export function checkItems(items: Items) {
  const malformed = [...items].find(([, text]) => !isJson(text));
  if (malformed) throw new DeclarationError(`${malformed[0]} is not JSON`);
  const declaredItems = new Map([...items].filter(([item]) => !isOperation(item)));
  const declarations = declarationsOf(declaredItems);
  const firstError = [
    ...formErrors(items, declarations),
    ...declarations.fleets.flatMap(fleetErrors),
    ...nameErrors(declarations),
    ...operationErrors(items, declarations),
  ][0];
  if (firstError) throw new DeclarationError(firstError);
}

/** Ids of drains and pins on targets that are not declared. */
export function orphanOperations(items: Items): string[] {
  const targets = new Set([...items.keys()].flatMap((item) => {
    const [root, , kind, name] = item.split('/');
    return root === 'fleet' && kind === 'target' ? [name!] : [];
  }));
  return [...items.keys()].filter((item) => isOperation(item)
    && !targets.has(item.slice(item.indexOf('/') + 1)));
}
