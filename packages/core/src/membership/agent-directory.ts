/**
 * The agents that an entry knows. The platform's list of VMs, which lags behind, names the
 * candidates; the state that agents report themselves takes precedence. Decides which agents to
 * connect to, which are leaving, and how much load each one may get.
 */
import type { TargetState, Vm } from '@verbenashunt/schema';
import {
  chooseSubset, subsetDefaults, type HostedRange, type SubsetOptions,
} from './subset.js';

/** Milliseconds after which the state of an agent that is not connected has to be refreshed. */
const maxStateAgeMs = 300_000;
/** The same for an agent in another region. */
const maxRemoteStateAgeMs = 3_600_000;

/** Agents connected to at the same time only to learn their state. */
const maxStateProbes = 32;

/** Milliseconds over which the load share of a target that joined rises to 1. */
const slowStartMs = 10_000;
const minLoadShare = 0.1;

/** Minimum poll interval per VM in the platform's list, in milliseconds. */
const listPollPerVmMs = 40;

/**
 * Interval in milliseconds at which an entry polls the platform's list. It grows with the list, so
 * that the cost of polling stays constant. A longer interval is acceptable because the first entry
 * that sees a leaving VM notifies its agent, and the agent notifies all entries.
 */
export const listPollIntervalMs = (
  minMs: number,
  vms: number,
) => Math.max(minMs, vms * listPollPerVmMs);

interface KnownAgent {
  vm: Vm;
  connected: boolean;
  /** The last connection was lost, or the last attempt to connect failed. */
  unreachable: boolean;
  /** When the agent was last in the platform's list. */
  listedAt: number;
  /** When an attempt to connect last failed; 0 if none has. */
  lastFailureAt: number;
  /** Once set, stays set for this incarnation, because later polls may return older lists. */
  leaving: boolean;
  state?: TargetState;
  /** When `state` was last known to be current. */
  stateAt: number;
  incarnation?: number;
  /** When the current incarnation connected; undefined if the entry had only just started. */
  joinedAt?: number;
}

export interface AgentDirectory {
  readonly size: number;
  /** Applies the platform's list of VMs. */
  update(vms: readonly Vm[], now: number): void;
  markConnected(node: string, state: TargetState, incarnation: number, now: number): void;
  updateState(node: string, state: TargetState, now: number): void;
  markDisconnected(node: string): void;
  /** The entry closed the connection because it no longer needs it. */
  markReleased(node: string, now: number): void;
  /** An attempt to connect failed; returns whether the agent counted as reachable before. */
  markUnreachable(node: string, now: number): boolean;
  /** VMs that the entry should be connected to now, by node. */
  nodesToConnect(now: number): Map<string, Vm>;
  /** Whether the platform's list has marked the VM as leaving. */
  isLeaving(node: string): boolean;
  /** Share of its load limit that a target may use now: from 0.1 after it joined, up to 1. */
  loadShare(node: string, now: number): number;
}

export type AgentDirectoryOptions = Pick<SubsetOptions, 'self' | 'region'> & Partial<SubsetOptions>;

const sameAddress = (a: Vm, b: Vm) => a.host === b.host && a.port === b.port;

function hostedRangesOf({ vm, state }: KnownAgent): HostedRange[] {
  if (!state) return [];
  const location = { node: vm.id, region: vm.region };
  if (state.kind === 'service') {
    return [{
      ...location, group: `service ${state.target}`, lo: 0, hi: 1,
    }];
  }
  return state.loaded.map(({
    model, version, lo, hi,
  }) => ({
    ...location, group: `${model}@${version}`, lo, hi,
  }));
}

export function createAgentDirectory(
  options: AgentDirectoryOptions,
  startedAt: number,
): AgentDirectory {
  const subset: SubsetOptions = { ...subsetDefaults, ...options };
  const agents = new Map<string, KnownAgent>();

  const isSameRegion = ({ vm }: KnownAgent) => vm.region === subset.region;
  const isFresh = (agent: KnownAgent, now: number) => agent.state !== undefined
    && (agent.connected
      || now - agent.stateAt < (isSameRegion(agent) ? maxStateAgeMs : maxRemoteStateAgeMs));

  /**
   * Orders agents of the entry's own region first, then by oldest failure, so that unreachable
   * agents take turns.
   */
  const byProbePriority = (a: KnownAgent, b: KnownAgent) => Number(isSameRegion(b))
    - Number(isSameRegion(a)) || a.lastFailureAt - b.lastFailureAt;

  function updateListed(vm: Vm, now: number) {
    const agent = agents.get(vm.id);
    const leaving = vm.state === 'leaving';
    if (!agent) {
      agents.set(vm.id, {
        vm,
        connected: false,
        unreachable: false,
        listedAt: now,
        lastFailureAt: 0,
        leaving,
        stateAt: now,
      });
    } else if (sameAddress(agent.vm, vm)) {
      Object.assign(agent, { vm, listedAt: now, leaving: agent.leaving || leaving });
    } else {
      Object.assign(agent, { listedAt: now });
      if (!agent.connected) Object.assign(agent, { vm, leaving, unreachable: false });
    }
  }

  const prune = (now: number) => [...agents]
    .filter(([, agent]) => !agent.connected && agent.listedAt < now)
    .forEach(([node]) => agents.delete(node));

  return {
    get size() {
      return agents.size;
    },
    update(vms, now) {
      vms.filter(({ role }) => role === 'agent').forEach((vm) => updateListed(vm, now));
      prune(now);
    },
    markConnected(node, state, incarnation, now) {
      const agent = agents.get(node);
      if (!agent) return;
      const restarted = agent.incarnation !== incarnation;
      const joined = restarted && now - startedAt > slowStartMs;
      if (restarted) agent.leaving = agent.vm.state === 'leaving';
      Object.assign(agent, {
        state, stateAt: now, incarnation, connected: true, unreachable: false,
      }, joined ? { joinedAt: now } : {});
    },
    updateState(node, state, now) {
      const agent = agents.get(node);
      if (agent) Object.assign(agent, { state, stateAt: now });
    },
    markDisconnected(node) {
      const agent = agents.get(node);
      if (agent) Object.assign(agent, { connected: false, unreachable: true });
    },
    markReleased(node, now) {
      const agent = agents.get(node);
      if (agent?.connected) Object.assign(agent, { connected: false, stateAt: now });
    },
    markUnreachable(node, now) {
      const agent = agents.get(node);
      if (!agent || agent.connected) return false;
      const wasReachable = !agent.unreachable;
      Object.assign(agent, { lastFailureAt: now, unreachable: true });
      return wasReachable;
    },
    nodesToConnect(now) {
      const all = [...agents.values()];
      const fresh = all.filter((agent) => isFresh(agent, now));
      const toProbe = all.filter((agent) => !isFresh(agent, now)).sort(byProbePriority)
        .slice(0, maxStateProbes);
      const available = fresh.filter(({ unreachable, leaving }) => !unreachable && !leaving);
      const chosen = new Set([
        ...chooseSubset(fresh.flatMap(hostedRangesOf), subset),
        ...chooseSubset(available.flatMap(hostedRangesOf), subset),
        ...toProbe.map(({ vm }) => vm.id),
      ]);
      return new Map(all.filter(({ vm }) => chosen.has(vm.id)).map(({ vm }) => [vm.id, vm]));
    },
    isLeaving: (node) => agents.get(node)?.leaving ?? false,
    loadShare(node, now) {
      const joinedAt = agents.get(node)?.joinedAt;
      if (joinedAt === undefined) return 1;
      return Math.min(1, Math.max(minLoadShare, (now - joinedAt) / slowStartMs));
    },
  };
}
