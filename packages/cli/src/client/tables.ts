/** Rows for the operators' queries, from what an entry sees and the configuration in force. */
import {
  drainItem, type Items, type Row, type Tables,
} from '@verbenashunt/core';
import type { Declarations, TargetState } from '@verbenashunt/schema';

/** What an entry tells of itself. */
export interface EntryState {
  node: string;
  revision: number;
  agents: {
    node: string;
    zone: string;
    region: string;
    incarnation: number;
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

const rangesOf = ({ loaded }: TargetState) => loaded
  .map(({
    model, version, lo, hi,
  }) => `${model}@${version}[${lo},${hi})`).join(' ');

function targetRows({ state, items, declarations }: TableSources): Row[] {
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
      loaded: agent ? rangesOf(agent.state) : '',
      active: agent?.state.load.active ?? 0,
      limit: agent?.state.load.limit ?? 0,
      incarnation: agent?.incarnation ?? 0,
    };
  });
}

/** Builds all tables. */
export function createTables(sources: TableSources): Tables {
  const { state, declarations } = sources;
  const targets = targetRows(sources);
  const servingIn = (fleet: string) => targets
    .filter((row) => row.fleet === fleet && row.serving && !row.drained).length;
  return {
    targets,
    fleets: declarations.fleets.map((fleet) => ({
      fleet: fleet.name,
      models: fleet.models?.length ?? 0,
      targets: fleet.targets?.length ?? 0,
      serving: servingIn(fleet.name),
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
