/** Targets that an entry calls directly, as reported by the platform's list and by themselves. */
import type { LayerRange } from '../placement/hosts.js';
import { groupBy } from './group-by.js';

/** Layers held by a target, and the version of their weights. */
export interface HeldRange extends LayerRange {
  version: number;
}

export interface ServingTarget {
  /** Usually new after each restart; where an id is reused, `startedAt` differs. */
  id: string;
  service: string;
  /** IP:PORT. */
  address: string;
  zone: string;
  draining: boolean;
  /** Requests that the target accepts at once; 0 when not reported. */
  slots: number;
  /** Name of its kind of accelerator; undefined when not reported. */
  kind: string | undefined;
  /** Undefined when it holds no layers or none are reported. */
  held: HeldRange | undefined;
  /** Start of its process in Unix milliseconds; undefined when not reported. */
  startedAt: number | undefined;
}

/** Identifies one run of a target's process, also where a restarted target reuses its id. */
export const incarnationOf = ({ id, startedAt }: ServingTarget) => `${id}.${startedAt ?? ''}`;

/** Change to one row of the platform's list of targets. */
export type TargetChange = | { id: string; target: ServingTarget }
  /** The row was deleted or is not a usable target. */
  | { id: string; target: undefined };

export interface TargetTable {
  apply(change: TargetChange): void;
  /** Replaces all targets, after the whole list was read. */
  reset(targets: readonly ServingTarget[]): void;
  byId(id: string): ServingTarget | undefined;
  ofService(service: string): readonly ServingTarget[];
  readonly all: readonly ServingTarget[];
}

export function createTargetTable(): TargetTable {
  const targets = new Map<string, ServingTarget>();
  let byService: Map<string, ServingTarget[]> | undefined;

  function dropIndex() {
    byService = undefined;
  }

  return {
    apply({ id, target }) {
      if (target) targets.set(id, target);
      else if (!targets.delete(id)) return;
      dropIndex();
    },
    reset(list) {
      targets.clear();
      list.forEach((target) => targets.set(target.id, target));
      dropIndex();
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
