/** Explains what runs where, from the rows of the operators' queries. */
import type { Row, Tables, WhyQuery } from './query.js';
import { QueryError } from './query.js';

/** Reasons why a target takes no new work; none when it takes some. */
function reasonsOf(target: Row): string[] {
  return [
    target.connected ? [] : ['this entry has no connection to its agent'],
    target.serving ? [] : ['its agent says that it does not serve'],
    target.drained ? [`it is drained: ${String(target.drainReason) || 'no reason given'}`] : [],
    target.leaving ? ['its VM is leaving'] : [],
    Number(target.active) >= Number(target.limit) ? ['it holds as many requests as it admits'] : [],
  ].flat();
}

function whyTarget(name: string, tables: Tables): string[] {
  const target = tables.targets.find((row) => row.target === name);
  if (!target) throw new QueryError(`no target is named ${name}`);
  const reasons = reasonsOf(target);
  const holds = `${name} in ${target.zone} holds ${String(target.loaded) || 'no layers'}, ${target.active} of ${target.limit} requests`;
  return reasons.length === 0
    ? [holds, 'it takes new work']
    : [holds, ...reasons.map((reason) => `no new work: ${reason}`)];
}

function whyRequest(id: string, tables: Tables): string[] {
  const found = tables.requests.find((row) => row.request === id);
  if (!found) throw new QueryError(`no request in flight at this entry is named ${id}`);
  const nodes = String(found.nodes).split(' ').filter(Boolean);
  const candidates = tables.targets
    .filter((row) => row.model === found.model || nodes.includes(String(row.node)));
  return [
    `${id} of ${found.organisation} (${found.class}) runs ${found.model || 'a call'} on ${nodes.join(' > ') || 'no target yet'}`,
    ...(found.suspect ? ['it is suspect: a target crashed while it ran there'] : []),
    ...candidates.map((row) => {
      const reasons = reasonsOf(row);
      const state = nodes.includes(String(row.node)) ? 'chosen' : reasons.join('; ') || 'able, not chosen';
      return `  ${row.target} ${row.loaded} ${row.active}/${row.limit}: ${state}`;
    }),
  ];
}

/** Lines that answer a question; QueryError when it names nothing known. */
export const explain = ({ of, name }: WhyQuery, tables: Tables): string[] => (of === 'target'
  ? whyTarget(name, tables)
  : whyRequest(name, tables));
