/** Retries of calls stay within the retry budget that all calls share. */
import { expect, test } from 'vitest';
import { createRetryBudget, ManualClock, retryDelayMs } from '@verbenashunt/core';
import type { Call, Message } from '@verbenashunt/schema';
import { createServiceCall, type AgentPeer, type ServiceCallDeps } from '@verbenashunt/entry';

const requests = 2000;
const options = { share: 0.2, burst: 50, perSecond: 2 };

function runCalls(answer: (call: Call) => Message) {
  const clock = new ManualClock();
  const retries = createRetryBudget(clock, options);
  const outcomes: string[] = [];
  let offers = 0;
  Array.from({ length: requests }, (_, i) => {
    const pendingReplies: Message[] = [];
    let closed = false;
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
        pendingReplies.push(answer(message));
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
      chooseAgent: (avoid) => peers.find(({ node }) => !avoid.has(node)),
      agent: (node) => peers.find((other) => other.node === node),
      subscribe: () => {},
      onClosed() {
        closed = true;
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
    while (!closed) {
      const message = pendingReplies.shift();
      if (message) peers.forEach(({ node }) => call.receive(node, message));
      clock.advance(1);
    }
    return call;
  });
  return { offers, outcomes, elapsedSeconds: clock.now() / 1000 };
}

test('retries of refused calls stay within the budget', () => {
  const { offers, outcomes, elapsedSeconds } = runCalls(({ req, attempt }) => ({
    t: 'refuse', req, attempt, code: 'busy',
  }));
  const maxRetries = requests * options.share + options.burst + elapsedSeconds * options.perSecond;
  expect(offers - requests).toBeLessThanOrEqual(maxRetries);
  expect(offers).toBeGreaterThan(requests);
  expect(new Set(outcomes)).toEqual(new Set(['overloaded no']));
  expect(outcomes.length).toBe(requests);
});

test('successful calls are not retried', () => {
  const { offers, outcomes } = runCalls(({ req, attempt }) => ({
    t: 'result', req, attempt, result: { status: 200, headers: {}, body: '' },
  }));
  expect(offers).toBe(requests);
  expect(new Set(outcomes)).toEqual(new Set(['completed']));
});

test('retry delays have jitter and do not exceed the time left', () => {
  expect(retryDelayMs(0, () => 0.5, 1000)).toBe(5);
  expect(retryDelayMs(20, () => 1, 1000)).toBe(500);
  expect(retryDelayMs(20, () => 1, 30)).toBe(30);
});
