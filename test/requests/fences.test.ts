/** A stage table drops steps of fenced attempts and refuses offers that arrive after a cancel. */
import { expect, test } from 'vitest';
import { ManualClock } from '@verbenashunt/core';
import { createStageTable } from '@verbenashunt/agent';
import type { EngineOp, Message, Offer } from '@verbenashunt/schema';

const hop = {
  node: 'b', host: 'b', port: 1, incarnation: 1,
};

const createOffer = (attempt: number): Offer => ({
  t: 'offer',
  req: 'r',
  attempt,
  incarnation: 1,
  revision: 1,
  org: 'o',
  cls: 'c',
  model: 'm',
  version: 'v',
  range: { lo: 4, hi: 8 },
  index: 1,
  stages: 3,
  next: hop,
  entry: 'e',
  timeLeftMs: 1000,
  priority: 5,
  maxTokens: 8,
  promptTokens: 2,
});

function createTable() {
  const ops: EngineOp[] = [];
  const replies: Message[] = [];
  const clock = new ManualClock();
  const table = createStageTable({
    clock,
    incarnation: 1,
    maxActive: 4,
    revision: () => 1,
    admitting: () => true,
    loaded: () => [{
      model: 'm', version: 'v', lo: 4, hi: 8, layers: 12,
    }],
    sendToEngine: (op) => ops.push(op),
    sendToHop: () => {},
    countEvent: () => {},
  });
  const reply = (message: Message) => replies.push(message);
  const step = (attempt: number, pos: number) => table.step({
    t: 'step', req: 'r', attempt, pos, hidden: ['a'],
  });
  return {
    clock, table, ops, replies, reply, step,
  };
}

test('a step of a fenced attempt does not reach the engine', () => {
  const {
    table, ops, reply, step,
  } = createTable();
  table.offer(createOffer(0), reply);
  step(0, 0);
  table.adopt({
    t: 'adopt', req: 'r', attempt: 0, to: 1, next: hop,
  }, reply);
  step(0, 1);
  expect(ops.length).toBe(1);
  step(1, 1);
  expect(ops.length).toBe(2);
});

test('an offer that arrives after its cancel is refused', () => {
  const {
    table, replies, reply,
  } = createTable();
  table.cancel('r', 0, reply);
  table.offer(createOffer(0), reply);
  expect(replies).toMatchObject([{ t: 'cancelled', ran: false }, { t: 'refuse', code: 'fenced' }]);
  expect(table.active).toBe(0);
});

test('a step does not reach the engine after the time left of the offer', () => {
  const {
    clock, table, ops, reply, step,
  } = createTable();
  table.offer(createOffer(0), reply);
  clock.advance(1001);
  step(0, 0);
  expect(table.active).toBe(0);
  expect(ops).toEqual([]);
});
