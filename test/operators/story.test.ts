/** One request's story out of the logs of several processes. */
import { expect, test } from 'vitest';
import { formatStoryLine, parseLogLine, storyOf } from '@verbenashunt/core';

const line = (time: number, msg: string, fields: object, node = 'a') => JSON.stringify({
  level: 30, time, ...(node ? { node } : {}), ...fields, msg,
});

const parse = (lines: readonly string[]) => lines.flatMap((text) => parseLogLine(text, 'file') ?? []);

test('lines: with a node, with words in front, with neither, and what is no line', () => {
  const nodes = [
    line(1, 'x', {}), `  0.5989 b ${line(1, 'x', {}, '')}`, line(1, 'x', {}, ''),
  ].map((text) => parseLogLine(text, 'file')!.node);
  expect(nodes).toEqual(['a', 'b', 'file']);
  expect(['', 'text', '{"level":30,"ti', '{"time":1}'].map((text) => parseLogLine(text, 'file')))
    .toEqual([undefined, undefined, undefined, undefined]);
});

test('a story: the request, what is known of its targets, and its own process', () => {
  const story = storyOf('r1', parse([
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
  expect(story.map(({ node, msg }) => `${node} ${msg}`)).toEqual([
    'a stopping', 'b target is dead', 'a attempt failed', 'a request refused',
  ]);
  expect(formatStoryLine(story[1]!)).toBe('00:00:19.000  b  target is dead  target=t2');
  expect(formatStoryLine({ ...story[1]!, fields: { err: 'reset\nGET /x', n: 1 } }))
    .toBe('00:00:19.000  b  target is dead  err=reset; GET /x  n=1');
});

test('an id that no line names', () => {
  expect(storyOf('r9', parse([line(1, 'request refused', { req: 'r1' })]))).toEqual([]);
});
