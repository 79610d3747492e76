/** Trace of one request from the logs of several processes. */
import { expect, test } from 'vitest';
import { formatLogRecord, parseLogLine, collectRequestTrace } from '@verbenashunt/core';

const line = (time: number, msg: string, fields: object, node = 'a') => JSON.stringify({
  level: 30, time, ...(node ? { node } : {}), ...fields, msg,
});

const parse = (lines: readonly string[]) => lines.flatMap((text) => parseLogLine(text, 'file') ?? []);

test('takes the node from the line, else from its prefix or source; skips other text', () => {
  const nodes = [
    line(1, 'x', {}), `  0.5989 b ${line(1, 'x', {}, '')}`, line(1, 'x', {}, ''),
  ].map((text) => parseLogLine(text, 'file')!.node);
  expect(nodes).toEqual(['a', 'b', 'file']);
  expect(['', 'text', '{"level":30,"ti', '{"time":1}'].map((text) => parseLogLine(text, 'file')))
    .toEqual([undefined, undefined, undefined, undefined]);
});

test('includes lines about the request, its targets and its process', () => {
  const trace = collectRequestTrace('r1', parse([
    line(20_000, 'attempt failed', { req: 'r1', target: 't1', blamed: '10.0.0.2:80' }),
    line(20_010, 'request refused', { req: 'r1', code: 'overloaded' }),
    line(20_005, 'attempt failed', { req: 'r2', target: 't1' }),
    line(19_000, 'target is dead', { target: 't2' }, 'b'),
    line(5000, 'target changed', { target: 't2', address: '10.0.0.2:80' }),
    line(18_000, 'target changed', { target: 't3' }),
    line(17_000, 'stopping', {}),
    line(17_000, 'stopping', {}, 'b'),
    line(21_000, 'target answers again', { target: 't2' }),
  ]));
  expect(trace.map(({ node, msg }) => `${node} ${msg}`)).toEqual([
    'a stopping', 'b target is dead', 'a attempt failed', 'a request refused',
  ]);
  expect(formatLogRecord(trace[1]!)).toBe('00:00:19.000  b  target is dead  target=t2');
  expect(formatLogRecord({ ...trace[1]!, fields: { err: 'reset\nGET /x', n: 1 } }))
    .toBe('00:00:19.000  b  target is dead  err=reset; GET /x  n=1');
});

test('is empty for an unknown request id', () => {
  expect(collectRequestTrace('r9', parse([line(1, 'request refused', { req: 'r1' })]))).toEqual([]);
});
