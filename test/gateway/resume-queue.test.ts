/** Turns of begun streams that look for a chain again. */
import { expect, test } from 'vitest';
import { ManualClock } from '@verbenashunt/core';
import { createResumeQueue } from '@verbenashunt/gateway';

function begin() {
  const clock = new ManualClock();
  const queue = createResumeQueue(clock);
  const turns: { name: string; at: number }[] = [];
  const join = (name: string, then = () => {}) => queue.wait(() => {
    turns.push({ name, at: clock.now() });
    then();
  });
  return {
    clock, queue, turns, join, names: () => turns.map(({ name }) => name),
  };
}

test('an idle queue gives the turn at once', () => {
  const { clock, join, turns } = begin();
  join('a');
  clock.advance(0);
  expect(turns).toEqual([{ name: 'a', at: 0 }]);
});

test('turns follow each other closely, in order', () => {
  const { clock, join, names } = begin();
  ['a', 'b', 'c', 'd'].forEach((name) => join(name));
  clock.advance(50);
  expect(names()).toEqual(['a', 'b', 'c', 'd']);
});

test('a refusal makes all pause, and the refused one takes its place at the end', () => {
  const {
    clock, queue, join, turns, names,
  } = begin();
  join('a', () => {
    queue.refused();
    join('a again');
  });
  join('b');
  join('c');
  clock.advance(100);
  expect(names()).toEqual(['a']);
  clock.advance(100);
  expect(names()).toEqual(['a', 'b', 'c', 'a again']);
  expect(turns[1]!.at).toBeGreaterThanOrEqual(150);
});

test('one that leaves has no turn', () => {
  const { clock, join, names } = begin();
  join('a');
  const leave = join('b');
  join('c');
  leave();
  clock.advance(50);
  expect(names()).toEqual(['a', 'c']);
});

test('many streams without room ask a few times a second', () => {
  const {
    clock, queue, join, turns,
  } = begin();
  const retry = () => {
    queue.refused();
    join('again', retry);
  };
  Array.from({ length: 40 }).forEach(() => join('first', retry));
  Array.from({ length: 200 }).forEach(() => clock.advance(10));
  expect(turns.length).toBeLessThanOrEqual(2000 / 150 + 1);
  expect(turns.length).toBeGreaterThanOrEqual(2000 / 170);
});
