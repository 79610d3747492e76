/** What the configuration wants of an engine, and the next order that leads there. */
import type { EngineOrder, LoadedModel, PinOperation } from '@verbenashunt/schema';
import type { ConfigView } from '../config/view.js';

/** The operator's pin of a target, else the declared one. */
function pinOf(view: ConfigView, fleet: string, target: string): PinOperation | undefined {
  return view.operations.pins.get(target)
    ?? view.fleetOf(fleet)?.targets?.find(({ name }) => name === target)?.pin;
}

/**
 * The layers and versions that a target is to hold: its pin, else what it holds now in the
 * declared version. Models that are not declared are left alone.
 */
export function desiredLoads(
  view: ConfigView,
  fleet: string,
  target: string,
  loaded: readonly LoadedModel[],
): LoadedModel[] {
  const pin = pinOf(view, fleet, target);
  const ranges = pin ? [pin] : loaded;
  return ranges.flatMap(({ model, lo, hi }) => {
    const declared = view.modelOf(model)?.model;
    return declared ? [{
      model, version: declared.version, lo, hi, layers: declared.layers,
    }] : [];
  });
}

const same = (a: LoadedModel, b: LoadedModel) => a.model === b.model && a.version === b.version
  && a.lo === b.lo && a.hi === b.hi;

/** The next order of an incarnation; undefined when the engine holds what is wanted. */
export function nextOrder(
  desired: readonly LoadedModel[],
  loaded: readonly LoadedModel[],
  incarnation: number,
): EngineOrder | undefined {
  const missing = desired.find((want) => !loaded.some((have) => same(want, have)));
  return missing && { kind: 'load', fencing: incarnation, ...missing };
}
