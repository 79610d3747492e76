/** Compares the configuration with what an engine has loaded and derives its next order. */
import type { EngineOrder, LoadedModel, PinOperation } from '@verbenashunt/schema';
import type { ConfigView } from '../config/view.js';

/** A pin set by an operator takes precedence over the declared one. */
function pinOf(view: ConfigView, fleet: string, target: string): PinOperation | undefined {
  return view.operations.pins.get(target)
    ?? view.fleetOf(fleet)?.targets?.find(({ name }) => name === target)?.pin;
}

/**
 * The layers and versions that a target should have loaded: those of its pin, or else the layers
 * that it has now, in the declared version. Undeclared models are ignored.
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

const isSameLoad = (a: LoadedModel, b: LoadedModel) => a.model === b.model
  && a.version === b.version && a.lo === b.lo && a.hi === b.hi;

/** The next order, fenced by the target's incarnation; undefined if nothing is missing. */
export function nextOrder(
  desired: readonly LoadedModel[],
  loaded: readonly LoadedModel[],
  incarnation: number,
): EngineOrder | undefined {
  const missing = desired.find((wanted) => !loaded.some((have) => isSameLoad(wanted, have)));
  return missing && { kind: 'load', fencing: incarnation, ...missing };
}
