/** Who gives way when requests together hold more memory than the limit, and who never does. */
import { expect, test } from 'vitest';
import fc from 'fast-check';
import { createMemoryBudget } from '@verbenashunt/wire';

function createBudget(limitBytes = 100) {
  let time = 0;
  const budget = createMemoryBudget({ limitBytes, now: () => time });
  const gone: string[] = [];
  return {
    budget,
    gone,
    pass(ms: number) {
      time += ms;
    },
    open: (name: string) => budget.open(() => gone.push(name)),
  };
}

test('an ordinary request gets through while slow ones hold the whole memory', () => {
  const { open, gone, pass } = createBudget();
  Array.from({ length: 10 }, (_, i) => open(`slow-${i}`).hold(10));
  pass(1000);
  const ordinary = open('ordinary');
  expect(ordinary.hold(10)).toBe(true);
  expect(gone).toEqual(['slow-0']);
});

test('of those that began together, the one that holds most gives way', () => {
  const { open, gone } = createBudget();
  open('small').hold(40);
  open('large').hold(50);
  open('other').hold(20);
  expect(gone).toEqual(['large']);
});

test('one that holds little for long gives way before one that holds more since shortly', () => {
  const { open, gone, pass } = createBudget();
  open('long').hold(30);
  pass(10_000);
  open('short').hold(60);
  open('other').hold(20);
  expect(gone).toEqual(['long']);
});

test('a request over the limit gives way itself if all others are kept', () => {
  const { open, gone } = createBudget();
  const kept = open('kept');
  kept.hold(90);
  kept.keep();
  const next = open('next');
  expect(next.hold(20)).toBe(false);
  expect(next.hold(5)).toBe(false);
  expect(gone).toEqual(['next']);
});

test('a request alone may hold more than the limit', () => {
  const { open, gone, budget } = createBudget();
  const first = open('first');
  first.hold(10);
  first.close();
  expect(open('large').hold(1000)).toBe(true);
  expect(gone).toEqual([]);
  expect(budget.held).toBe(1000);
});

test('the limit holds over all accounts that can give way, and none gives way twice', () => {
  const step = fc.record({
    account: fc.nat(9), bytes: fc.nat(60), does: fc.constantFrom('hold', 'keep', 'close'), ms: fc.nat(5),
  });
  fc.assert(fc.property(fc.array(step, { maxLength: 100 }), (steps) => {
    const {
      open, gone, pass, budget,
    } = createBudget();
    const accounts = Array.from({ length: 10 }, (_, i) => open(`${i}`));
    const kept = new Set<number>();
    steps.forEach(({
      account, bytes, does, ms,
    }) => {
      pass(ms);
      if (does === 'hold') accounts[account]!.hold(bytes);
      else if (does === 'keep') {
        accounts[account]!.keep();
        kept.add(account);
      } else accounts[account]!.close();
      const held = accounts.reduce((sum, { held: bytesHeld }) => sum + bytesHeld, 0);
      const keptBytes = [...kept].reduce((sum, i) => sum + accounts[i]!.held, 0);
      expect(budget.held).toBe(held);
      expect(held <= 100 || held === keptBytes).toBe(true);
    });
    expect(new Set(gone).size).toBe(gone.length);
  }));
});
