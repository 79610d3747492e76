/** The rate-limited log of decisions on requests. */
import { expect, test } from 'vitest';
import type { Logger } from 'pino';
import { ManualClock } from '@verbenashunt/core';
import { createRequestLog } from '@verbenashunt/gateway';

function createLog() {
  const clock = new ManualClock();
  const lines: { msg: string; fields: Record<string, unknown> }[] = [];
  const log = {
    info: (fields: Record<string, unknown>, msg: string) => lines.push({ msg, fields }),
  } as unknown as Logger;
  return { clock, lines, requestLog: createRequestLog({ log, clock }) };
}

test('lines of one message are limited per second, and those left out are counted by cause', () => {
  const { clock, lines, requestLog } = createLog();
  Array.from({ length: 500 }, (_, i) => requestLog.info({
    req: `r${i}`, code: i % 2 ? 'overloaded' : 'no_chain', reason: `status ${i}`,
  }, 'request refused'));
  requestLog.info({ req: 'other' }, 'caller left');
  clock.advance(1000);
  const refused = lines.filter(({ msg }) => msg === 'request refused');
  const { counts } = lines.at(-1)!.fields;
  expect(refused.length).toBeLessThanOrEqual(100);
  expect(lines.filter(({ msg }) => msg === 'caller left')).toHaveLength(1);
  expect(counts).toEqual({
    'request refused: overloaded: status N': 200, 'request refused: no_chain: status N': 200,
  });
});

test('lines are written again in the next second, without a summary if none were left out', () => {
  const { clock, lines, requestLog } = createLog();
  clock.advance(1000);
  requestLog.info({ req: 'r' }, 'request answered');
  clock.advance(1000);
  expect(lines.map(({ msg }) => msg)).toEqual(['request answered']);
});

test('the number of causes is limited, and every line is written or counted', () => {
  const { clock, lines, requestLog } = createLog();
  Array.from({ length: 1000 }, (_, i) => requestLog.info({
    req: `r${i}`, reason: String.fromCharCode(97 + (i % 26)).repeat(1 + Math.floor(i / 26)),
  }, 'attempt failed'));
  clock.advance(1000);
  const counts = lines.at(-1)!.fields.counts as Record<string, number>;
  const counted = Object.values(counts).reduce((sum, n) => sum + n, 0);
  expect(Object.keys(counts).length).toBeLessThanOrEqual(51);
  expect(counted + lines.filter(({ msg }) => msg === 'attempt failed').length).toBe(1000);
});
