/** Dead targets in the middle of chains, found by the common pause of the streams through them. */
import { expect, test } from 'vitest';
import { pino } from 'pino';
import { ManualClock, type ServingTarget } from '@verbenashunt/core';
import { createChainWatch } from '@verbenashunt/gateway';

const target = (id: string): ServingTarget => ({
  id,
  service: 'pool',
  address: `${id}:1`,
  zone: 'zone-a',
  draining: false,
  slots: 1,
  kind: undefined,
  held: undefined,
  startedAt: 1,
});

const gapMs = 40;
const parts = ['a', 'b', 'c', 'd'].map(target);

function begin(unreachable: string[], streams = 3) {
  const clock = new ManualClock();
  const connected: string[] = [];
  const dead: string[] = [];
  const stalled: string[] = [];
  let heardAt = 0;
  const watch = createChainWatch({
    clock,
    log: pino({ level: 'silent' }),
    onDead: ({ id }) => dead.push(id),
    async takesConnection(address) {
      connected.push(address);
      return !unreachable.some((id) => address.startsWith(`${id}:`));
    },
  });
  Array.from({ length: streams }, (_, i) => watch.watch({
    parts: () => parts,
    heardAt: () => heardAt,
    gapMs: () => gapMs,
    stalledBy: (address) => stalled.push(`${i} ${address}`),
  }));
  return {
    clock,
    connected,
    dead,
    stalled,
    hear() {
      heardAt = clock.now();
    },
    /** Time passes in the steps of the process's own timers. */
    async pass(ms: number) {
      await Array.from({ length: ms / 10 }).reduce(async (before: Promise<void>) => {
        await before;
        clock.advance(10);
        await new Promise(setImmediate);
      }, Promise.resolve());
    },
  };
}

test('a silent chain is looked into soon, and its streams leave the dead target', async () => {
  const it = begin(['c']);
  await it.pass(90);
  expect(it.dead).toEqual(['c']);
  expect(it.stalled).toEqual(['0 c:1', '1 c:1', '2 c:1']);
});

test('events as usual: no target is connected to', async () => {
  const it = begin(['c']);
  await Array.from({ length: 20 }).reduce(async (before: Promise<void>) => {
    await before;
    await it.pass(60);
    it.hear();
  }, Promise.resolve());
  expect(it.connected).toEqual([]);
});

test('a slow chain whose targets all live is looked into a few times a second, and stays', async () => {
  const it = begin([]);
  await it.pass(1000);
  expect(it.connected.length).toBeLessThanOrEqual(5 * parts.length);
  expect([it.dead, it.stalled]).toEqual([[], []]);
});

test('where most targets can not be reached, the fault is on this side', async () => {
  const it = begin(['a', 'b', 'c']);
  await it.pass(500);
  expect([it.dead, it.stalled]).toEqual([[], []]);
});

test('after a freeze of the process, events may wait unread', async () => {
  const it = begin(['c']);
  it.clock.advance(0);
  await it.pass(60);
  const now = it.clock.now.bind(it.clock);
  it.clock.now = () => now() + 3000;
  await it.pass(10);
  expect(it.connected).toEqual([]);
});

test('two streams say too little', async () => {
  const it = begin(['c'], 2);
  await it.pass(500);
  expect(it.connected).toEqual([]);
});
