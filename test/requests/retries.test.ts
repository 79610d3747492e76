/** Retries: a storm is bounded by the budget, and no other layer repeats a call. */
import { expect, test } from 'vitest';
import { createRetryBudget, ManualClock, retryDelayMs } from '@verbenashunt/core';
import type { Call, Message } from '@verbenashunt/schema';
import { createServiceCall, type AgentPeer, type ServiceCallDeps } from '@verbenashunt/entry';

const requests = 2000;
const options = { share: 0.2, burst: 50, perSecond: 2 };

function storm(answer: (call: Call) => Message) {
  const clock = new ManualClock();
  const retries = createRetryBudget(clock, options);
  const outcomes: string[] = [];
  let offers = 0;
  Array.from({ length: requests }, (_, i) => {
    const waiting: Message[] = [];
    let over = false;
    const peer = (node: string): AgentPeer => ({
      node,
      zone: 'z',
      region: 'r',
      host: 'h',
      port: 1,
      incarnation: 1,
      revision: 1,
      own: 0,
      state: {} as AgentPeer['state'],
      send(message) {
        if (message.t !== 'call') return;
        offers += 1;
        waiting.push(answer(message));
      },
    });
    const peers = ['a', 'b', 'c', 'd', 'e'].map(peer);
    const deps: ServiceCallDeps = {
      clock,
      random: () => 0.5,
      entry: 'e',
      records: {} as ServiceCallDeps['records'],
      retries,
      revision: () => 1,
      choose: (avoid) => peers.find(({ node }) => !avoid.has(node)),
      agent: (node) => peers.find((other) => other.node === node),
      follow: () => {},
      closed() {
        over = true;
      },
    };
    const call = createServiceCall({
      req: `r${i}`,
      org: 'o',
      cls: 'c',
      method: 'GET',
      path: '/',
      headers: {},
      body: '',
      repeatable: true,
      key: undefined,
      deadline: clock.now() + 10_000,
    }, {
      result: () => outcomes.push('completed'),
      refuse: (refusal) => outcomes.push(`${refusal.code} ${refusal.ran}`),
    }, deps);
    while (!over) {
      const message = waiting.shift();
      if (message) peers.forEach(({ node }) => call.receive(node, message));
      clock.advance(1);
    }
    return call;
  });
  return { offers, outcomes, elapsedSeconds: clock.now() / 1000 };
}

test('a storm of refusals', () => {
  const { offers, outcomes, elapsedSeconds } = storm(({ req, attempt }) => ({
    t: 'refuse', req, attempt, code: 'busy',
  }));
  const earned = requests * options.share + options.burst + elapsedSeconds * options.perSecond;
  expect(offers - requests).toBeLessThanOrEqual(earned);
  expect(offers).toBeGreaterThan(requests);
  expect(new Set(outcomes)).toEqual(new Set(['overloaded no']));
  expect(outcomes.length).toBe(requests);
});

test('no retry when all is well', () => {
  const { offers, outcomes } = storm(({ req, attempt }) => ({
    t: 'result', req, attempt, result: { status: 200, headers: {}, body: '' },
  }));
  expect(offers).toBe(requests);
  expect(new Set(outcomes)).toEqual(new Set(['completed']));
});

test('delays are jittered and end with the time left', () => {
  expect(retryDelayMs(0, () => 0.5, 1000)).toBe(5);
  expect(retryDelayMs(20, () => 1, 1000)).toBe(500);
  expect(retryDelayMs(20, () => 1, 30)).toBe(30);
});
