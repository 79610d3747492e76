/** Answers `why` queries: whether a target gets new requests, and where a request runs. */
import type { Row, Tables, WhyQuery } from './query.js';
import { QueryError } from './query.js';

/** Reasons why a target gets no new requests; empty if it can get them. */
function unavailableReasons(target: Row): string[] {
  return [
    target.connected ? [] : ['this entry has no connection to its agent'],
    target.serving ? [] : ['its agent reports that it is not serving'],
    target.drained ? [`it is drained: ${String(target.drainReason) || 'no reason given'}`] : [],
    target.leaving ? ['its VM is leaving'] : [],
    Number(target.active) >= Number(target.limit) ? ['its active requests have reached its limit'] : [],
  ].flat();
}

function whyTarget(name: string, tables: Tables): string[] {
  const target = tables.targets.find((row) => row.target === name);
  if (!target) throw new QueryError(`no target is named ${name}`);
  const reasons = unavailableReasons(target);
  const summary = `${name} in ${target.zone} has ${String(target.loaded) || 'no layers'} loaded, ${target.active} of ${target.limit} requests active`;
  return reasons.length === 0
    ? [summary, 'it can get new requests']
    : [summary, ...reasons.map((reason) => `no new requests: ${reason}`)];
}

function whyRequest(id: string, tables: Tables): string[] {
  const request = tables.requests.find((row) => row.request === id);
  if (!request) throw new QueryError(`no request in flight at this entry is named ${id}`);
  const nodes = String(request.nodes).split(' ').filter(Boolean);
  const candidates = tables.targets
    .filter((row) => row.model === request.model || nodes.includes(String(row.node)));
  return [
    `${id} of ${request.organisation} (${request.class}) runs ${request.model || 'a service call'} on ${nodes.join(' > ') || 'no target yet'}`,
    ...(request.suspect ? ['it is suspect: a target crashed while running it'] : []),
    ...candidates.map((row) => {
      const reasons = unavailableReasons(row);
      const state = nodes.includes(String(row.node)) ? 'chosen' : reasons.join('; ') || 'available, not chosen';
      return `  ${row.target} ${row.loaded} ${row.active}/${row.limit}: ${state}`;
    }),
  ];
}

/** Returns the lines of the answer; throws QueryError if the target or request is not known. */
export const explain = ({ of, name }: WhyQuery, tables: Tables): string[] => (of === 'target'
  ? whyTarget(name, tables)
  : whyRequest(name, tables));
