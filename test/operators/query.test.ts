/** Query language for operators. */
import { expect, test } from 'vitest';
import {
  explain, formatTable, parseQuery, select, type Query, type Row, type SelectQuery, type Tables,
  type WhyQuery,
} from '@verbenashunt/core';

const target: Row = {
  target: 'a', zone: 'z', node: 'agent-a', connected: true, serving: true, drained: false, drainReason: '', leaving: false, model: 'm', loaded: 'm@v1[0,4)', active: 2, limit: 8,
};
const rows: Row[] = [
  target,
  {
    ...target, target: 'b', node: 'agent-b', active: 10, limit: 10,
  },
  {
    ...target, target: 'c', node: '', connected: false, serving: false, drained: true, drainReason: 'disk', active: 0,
  },
];
const tables = {
  targets: rows,
  requests: [{
    request: 'r-1', organisation: 'o', class: 'chat', model: 'm', nodes: 'agent-a', suspect: true,
  }],
} as unknown as Tables;

const run = (text: string) => select(parseQuery(text) as SelectQuery, rows)
  .map((row) => row.target ?? row.count);
const why = (text: string) => explain(parseQuery(text) as WhyQuery, tables);

test.each([
  ['targets', ['a', 'b', 'c']],
  ['targets order by active desc', ['b', 'a', 'c']],
  ['targets where active >= 2 and serving = true order by target desc limit 1', ['b']],
  ['targets where drainReason ~ "is" and active<1', ['c']],
  ['count targets where target != b', [2]],
])('%s', (text, expected) => {
  expect(run(text)).toEqual(expected);
});

test.each([
  ['', /column 1: Expected .*targets, fleets, models/],
  ['target', /column 1: Expected/],
  ['targets where', /column 14: Expected white space but end of input found/],
  ['targets where active ! 3', /column 22: Expected =, !=, <, <=, >, >= or ~/],
  ['targets limit many', /column 15: Expected a whole number/],
  ['why machine a', /column 5: Expected "request" or "target"/],
])('syntax error in "%s"', (text, expected) => {
  expect(() => parseQuery(text)).toThrow(expected);
});

test('rejects an unknown field', () => {
  expect(() => run('targets where colour = red')).toThrow(/no field colour; they have target, zone/);
});

test('explains a target or a request', () => {
  expect(why('why target a')).toEqual(['a in z has m@v1[0,4) loaded, 2 of 8 requests active', 'it can get new requests']);
  expect(why('why target b')).toContain('no new requests: its active requests have reached its limit');
  expect(why('why target c')).toContain('no new requests: it is drained: disk');
  expect(why('why request r-1')).toEqual([
    'r-1 of o (chat) runs m on agent-a',
    'it is suspect: a target crashed while running it',
    '  a m@v1[0,4) 2/8: chosen',
    '  b m@v1[0,4) 10/10: its active requests have reached its limit',
    '  c m@v1[0,4) 0/8: this entry has no connection to its agent; its agent reports that it is not serving; it is drained: disk',
  ]);
  expect(() => why('why target d')).toThrow(/no target is named d/);
});

test('formats a table', () => {
  expect(formatTable([{ name: 'a', n: 10 }, { name: 'long', n: 1 }])).toBe('name  n\na     10\nlong  1');
  const query: Query = parseQuery('models');
  expect(query).toMatchObject({ kind: 'select', resource: 'models', where: [] });
});
