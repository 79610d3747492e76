/** Builds the tables for operator queries from an entry's state and the current configuration. */
import {
  drainItem, type Items, type Row, type Tables,
} from '@verbenashunt/core';
import type { Declarations, TargetState } from '@verbenashunt/schema';

/** Response of `GET /operator/v1/state`. */
export interface EntryState {
  node: string;
  revision: number;
  agents: {
    node: string;
    zone: string;
    region: string;
    incarnation: number;
    /** Requests that this entry has sent to the agent and that are still in flight. */
    own: number;
    state: TargetState;
    revision?: number;
  }[];
  requests: {
    req: string; org: string; cls: string; model?: string; nodes: string[]; suspect: boolean;
  }[];
}

export interface TableSources {
  state: EntryState;
  items: Items;
  declarations: Declarations;
  quarantine: Row[];
}

const formatLoadedRanges = ({ loaded }: TargetState) => loaded
  .map(({
    model, version, lo, hi,
  }) => `${model}@${version}[${lo},${hi})`).join(' ');

function createTargetRows({ state, items, declarations }: TableSources): Row[] {
  const agents = new Map(state.agents.map((agent) => [agent.state.target, agent]));
  const declared = declarations.fleets
    .flatMap(({ name: fleet, targets = [] }) => targets.map((target) => ({ fleet, target })));
  return declared.map(({ fleet, target }): Row => {
    const agent = agents.get(target.name);
    const drain = items.get(drainItem(target.name));
    return {
      target: target.name,
      fleet,
      kind: target.kind,
      zone: agent?.zone ?? target.zone ?? '',
      node: agent?.node ?? '',
      connected: agent !== undefined,
      serving: agent?.state.serving ?? false,
      drained: drain !== undefined,
      drainReason: drain ? String((JSON.parse(drain) as { reason?: string }).reason ?? '') : '',
      leaving: drain === undefined && (agent?.state.draining ?? false),
      model: agent?.state.loaded[0]?.model ?? '',
      loaded: agent ? formatLoadedRanges(agent.state) : '',
      active: agent?.state.load.active ?? 0,
      limit: agent?.state.load.limit ?? 0,
      incarnation: agent?.incarnation ?? 0,
    };
  });
}

export function createTables(sources: TableSources): Tables {
  const { state, declarations } = sources;
  const targets = createTargetRows(sources);
  const countServing = (fleet: string) => targets
    .filter((row) => row.fleet === fleet && row.serving && !row.drained).length;
  return {
    targets,
    fleets: declarations.fleets.map((fleet) => ({
      fleet: fleet.name,
      models: fleet.models?.length ?? 0,
      targets: fleet.targets?.length ?? 0,
      serving: countServing(fleet.name),
      routes: fleet.routes?.length ?? 0,
    })),
    models: declarations.fleets.flatMap(({ name: fleet, models = [] }) => models.map((model) => ({
      model: model.name, version: model.version, layers: model.layers, fleet,
    }))),
    organisations: declarations.organisations.map(({ name, fleets, limits }) => ({
      organisation: name,
      fleets: fleets?.join(' ') ?? '',
      requestsPerSecond: limits?.requestsPerSecond ?? '',
      concurrency: limits?.concurrency ?? '',
      weight: limits?.weight ?? 1,
    })),
    requests: state.requests.map(({
      req, org, cls, model, nodes, suspect,
    }) => ({
      request: req, organisation: org, class: cls, model: model ?? '', nodes: nodes.join(' '), suspect,
    })),
    revisions: [
      { node: state.node, role: 'entry', revision: state.revision },
      ...state.agents.map(({ node, revision }) => ({ node, role: 'agent', revision: revision ?? '' })),
    ],
    quarantine: sources.quarantine,
  };
}
