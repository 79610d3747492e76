/**
 * What an entry knows of the agents: candidates by the platform's lagging list, truth by the
 * agents' own word. Decides which agents to connect to and which may be given new work.
 */
import type { TargetState, Vm } from '@verbenashunt/schema';
import {
  chooseSubset, subsetDefaults, type Holding, type SubsetOptions,
} from './subset.js';

/** Age at which the state of an agent that is not connected is learnt anew, in milliseconds. */
const relearnMs = 300_000;
/** The same for an agent of another region. */
const relearnFarMs = 3_600_000;

/** Agents whose state is unknown that are dialled at once. */
const maxLearning = 32;

/** Time over which a target that joined takes up its share, in milliseconds. */
const slowStartMs = 10_000;
const minShare = 0.1;

/** Shortest time between reads of the platform's list for each VM in it, in milliseconds. */
const listPollPerVmMs = 40;

/**
 * Time between an entry's reads of the platform's list. It grows with the list, so that reading
 * costs each entry the same; the first entry that sees a VM leaving tells its agent, and that
 * tells all entries.
 */
export const listPollMs = (minMs: number, vms: number) => Math.max(minMs, vms * listPollPerVmMs);

interface Known {
  vm: Vm;
  connected: boolean;
  /** The last connection was lost or the last try failed. */
  down: boolean;
  /** Last time that the list named it. */
  listedAt: number;
  /** Last time that it could not be reached. */
  failedAt: number;
  /** Once the list said so it holds for this incarnation, whatever older lists say. */
  leaving: boolean;
  state?: TargetState;
  stateAt: number;
  incarnation?: number;
  /** Time of the join, while it starts slowly. */
  joinedAt?: number;
}

export interface Directory {
  readonly size: number;
  /** Takes the platform's list. */
  update(vms: readonly Vm[], now: number): void;
  up(node: string, state: TargetState, incarnation: number, now: number): void;
  heard(node: string, state: TargetState, now: number): void;
  down(node: string): void;
  /** The link was closed because it is not wanted. */
  released(node: string, now: number): void;
  /** A try to connect failed; returns whether this was news. */
  failed(node: string, now: number): boolean;
  /** Nodes to be connected to now. */
  wanted(now: number): Map<string, Vm>;
  /** Whether the platform's list said that the VM is leaving. */
  leaving(node: string): boolean;
  /** Share of its load that a target takes now, from 0.1 after a join to 1. */
  share(node: string, now: number): number;
}

export type DirectoryOptions = Pick<SubsetOptions, 'self' | 'region'> & Partial<SubsetOptions>;

const sameAddress = (a: Vm, b: Vm) => a.host === b.host && a.port === b.port;

function holdingsOf({ vm, state }: Known): Holding[] {
  if (!state) return [];
  const place = { node: vm.id, region: vm.region };
  if (state.kind === 'service') {
    return [{
      ...place, group: `service ${state.target}`, lo: 0, hi: 1,
    }];
  }
  return state.loaded.map(({
    model, version, lo, hi,
  }) => ({
    ...place, group: `${model}@${version}`, lo, hi,
  }));
}

export function createDirectory(options: DirectoryOptions, startedAt: number): Directory {
  const subset: SubsetOptions = { ...subsetDefaults, ...options };
  const nodes = new Map<string, Known>();

  const isNear = ({ vm }: Known) => vm.region === subset.region;
  const isFresh = (known: Known, now: number) => known.state !== undefined
    && (known.connected || now - known.stateAt < (isNear(known) ? relearnMs : relearnFarMs));

  /** Near ones first, then those whose last failure is oldest, so that dead ones take turns. */
  const learnFirst = (a: Known, b: Known) => Number(isNear(b)) - Number(isNear(a))
    || a.failedAt - b.failedAt;

  function list(vm: Vm, now: number) {
    const known = nodes.get(vm.id);
    const leaving = vm.state === 'leaving';
    if (!known) {
      nodes.set(vm.id, {
        vm, connected: false, down: false, listedAt: now, failedAt: 0, leaving, stateAt: now,
      });
    } else if (sameAddress(known.vm, vm)) {
      Object.assign(known, { vm, listedAt: now, leaving: known.leaving || leaving });
    } else {
      Object.assign(known, { listedAt: now });
      if (!known.connected) Object.assign(known, { vm, leaving, down: false });
    }
  }

  const prune = (now: number) => [...nodes]
    .filter(([, known]) => !known.connected && known.listedAt < now)
    .forEach(([node]) => nodes.delete(node));

  return {
    get size() {
      return nodes.size;
    },
    update(vms, now) {
      vms.filter(({ role }) => role === 'agent').forEach((vm) => list(vm, now));
      prune(now);
    },
    up(node, state, incarnation, now) {
      const known = nodes.get(node);
      if (!known) return;
      const restarted = known.incarnation !== incarnation;
      const joined = restarted && now - startedAt > slowStartMs;
      if (restarted) known.leaving = known.vm.state === 'leaving';
      Object.assign(known, {
        state, stateAt: now, incarnation, connected: true, down: false,
      }, joined ? { joinedAt: now } : {});
    },
    heard(node, state, now) {
      const known = nodes.get(node);
      if (known) Object.assign(known, { state, stateAt: now });
    },
    down(node) {
      const known = nodes.get(node);
      if (known) Object.assign(known, { connected: false, down: true });
    },
    released(node, now) {
      const known = nodes.get(node);
      if (known?.connected) Object.assign(known, { connected: false, stateAt: now });
    },
    failed(node, now) {
      const known = nodes.get(node);
      if (!known || known.connected) return false;
      const news = !known.down;
      Object.assign(known, { failedAt: now, down: true });
      return news;
    },
    wanted(now) {
      const all = [...nodes.values()];
      const fresh = all.filter((known) => isFresh(known, now));
      const learning = all.filter((known) => !isFresh(known, now)).sort(learnFirst)
        .slice(0, maxLearning);
      const alive = fresh.filter(({ down, leaving }) => !down && !leaving);
      const chosen = new Set([
        ...chooseSubset(fresh.flatMap(holdingsOf), subset),
        ...chooseSubset(alive.flatMap(holdingsOf), subset),
        ...learning.map(({ vm }) => vm.id),
      ]);
      return new Map(all.filter(({ vm }) => chosen.has(vm.id)).map(({ vm }) => [vm.id, vm]));
    },
    leaving: (node) => nodes.get(node)?.leaving ?? false,
    share(node, now) {
      const joinedAt = nodes.get(node)?.joinedAt;
      if (joinedAt === undefined) return 1;
      return Math.min(1, Math.max(minShare, (now - joinedAt) / slowStartMs));
    },
  };
}
