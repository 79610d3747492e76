/** Targets that an entry calls directly, as the platform's list and the targets tell of them. */
import type { LayerRange } from '../placement/hosts.js';
import { groupBy } from './group-by.js';

/** Layers of one version of the weights. */
export interface HeldRange extends LayerRange {
  version: number;
}

export interface ServingTarget {
  /** Names one life of a target in most cases; `startedAt` tells lives of one id apart. */
  id: string;
  service: string;
  /** IP:PORT. */
  address: string;
  zone: string;
  draining: boolean;
  /** Requests at once; 0 where it says nothing. */
  slots: number;
  /** Kind of accelerator. */
  kind: string | undefined;
  held: HeldRange | undefined;
  /** Unix milliseconds; undefined where it says nothing. */
  startedAt: number | undefined;
}

/** Tells the lives of targets apart, also those under one id. */
export const lifeOf = ({ id, startedAt }: ServingTarget) => `${id}.${startedAt ?? ''}`;

/** Change of one row of the platform's list. */
export type TargetChange = | { id: string; target: ServingTarget }
  /** The row is gone, or names no target that could be used. */
  | { id: string; target: undefined };

export interface TargetTable {
  apply(change: TargetChange): void;
  /** Replaces everything, after the whole list was read. */
  reset(targets: readonly ServingTarget[]): void;
  byId(id: string): ServingTarget | undefined;
  ofService(service: string): readonly ServingTarget[];
  readonly all: readonly ServingTarget[];
}

export function createTargetTable(): TargetTable {
  const targets = new Map<string, ServingTarget>();
  let byService: Map<string, ServingTarget[]> | undefined;

  function changed() {
    byService = undefined;
  }

  return {
    apply({ id, target }) {
      if (target) targets.set(id, target);
      else if (!targets.delete(id)) return;
      changed();
    },
    reset(list) {
      targets.clear();
      list.forEach((target) => targets.set(target.id, target));
      changed();
    },
    byId: (id) => targets.get(id),
    ofService(service) {
      byService ??= groupBy([...targets.values()], (target) => target.service);
      return byService.get(service) ?? [];
    },
    get all() {
      return [...targets.values()];
    },
  };
}
