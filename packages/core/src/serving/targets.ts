/** Targets that an entry calls directly, as reported by the platform's list and by themselves. */
import QuickLRU from 'quick-lru';
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

/** A target that was once draining stays so until it restarts, whatever its row says later. */
export interface TargetTable {
  apply(change: TargetChange): void;
  /** Replaces all targets, after the whole list was read. */
  reset(targets: readonly ServingTarget[]): void;
  /** Records the layers that a target holds; does nothing for one that is not known. */
  setHeld(id: string, held: HeldRange | undefined): void;
  /**
   * Records that an incarnation is draining, whether it is listed now or not; returns false if this
   * was known.
   */
  markDraining(target: ServingTarget): boolean;
  byId(id: string): ServingTarget | undefined;
  ofService(service: string): readonly ServingTarget[];
  readonly all: readonly ServingTarget[];
}

/** Keys of draining incarnations that are remembered; the least recently seen are evicted. */
const maxDraining = 8192;

export function createTargetTable(): TargetTable {
  const targets = new Map<string, ServingTarget>();
  const drainingIncarnations = new QuickLRU<string, true>({ maxSize: maxDraining });
  let byService: Map<string, ServingTarget[]> | undefined;

  function dropIndexes() {
    byService = undefined;
  }

  function remember(target: ServingTarget) {
    drainingIncarnations.set(incarnationOf(target), true);
    // A row that states no start may be of this incarnation.
    drainingIncarnations.set(incarnationOf({ ...target, startedAt: undefined }), true);
  }

  function put(target: ServingTarget) {
    const draining = target.draining || drainingIncarnations.has(incarnationOf(target));
    if (draining) remember(target);
    targets.set(target.id, draining === target.draining ? target : { ...target, draining });
    dropIndexes();
  }

  return {
    apply({ id, target }) {
      if (target) put(target);
      else if (targets.delete(id)) dropIndexes();
    },
    reset(list) {
      targets.clear();
      dropIndexes();
      list.forEach(put);
    },
    setHeld(id, held) {
      const target = targets.get(id);
      if (target) put({ ...target, held });
    },
    markDraining(target) {
      const incarnation = incarnationOf(target);
      if (drainingIncarnations.has(incarnation)) return false;
      remember(target);
      const listed = targets.get(target.id);
      if (listed && incarnationOf(listed) === incarnation) put(listed);
      return true;
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
