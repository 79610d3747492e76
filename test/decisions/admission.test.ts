/** Admission: fair order, refusals, limits across entries. */
import { expect, test } from 'vitest';
import {
  createAdmission, createLimitShare, createOrgLimits, createTokenBucket, ManualClock,
  type AdmissionWork, type Refusal,
} from '@verbenashunt/core';

interface Outcome {
  started: string[];
  refused: { org: string; refusal: Refusal }[];
}

function createWorld(options: { slots: number; maxQueue?: number; maxWaitMs?: number }) {
  const clock = new ManualClock();
  const outcome: Outcome = { started: [], refused: [] };
  let running = 0;
  const admission = createAdmission({
    now: () => clock.now(),
    maxQueue: options.maxQueue ?? 1000,
    maxWaitMs: options.maxWaitMs ?? 60_000,
    canStart: () => running < options.slots,
  });
  function submit(org: string, more: Partial<AdmissionWork> = {}) {
    const work: AdmissionWork = {
      org,
      weight: 1,
      priority: 5,
      deadline: clock.now() + 100_000,
      cost: 1,
      start() {
        running += 1;
        outcome.started.push(org);
      },
      refuse: (refusal) => outcome.refused.push({ org, refusal }),
      ...more,
    };
    admission.submit(work);
    return work;
  }
  function finish() {
    running -= 1;
    admission.drain();
  }
  return {
    clock, outcome, admission, submit, finish,
  };
}

const count = (list: readonly string[], org: string) => list.filter((o) => o === org).length;

test('weights share a busy resource', () => {
  const { outcome, submit, finish } = createWorld({ slots: 1 });
  Array.from({ length: 100 }).forEach(() => {
    submit('large', { weight: 3 });
    submit('small');
  });
  Array.from({ length: 80 }).forEach(finish);
  expect(count(outcome.started, 'large') / count(outcome.started, 'small')).toBeCloseTo(3, 0);
});

test('shares follow actual cost', () => {
  const {
    outcome, submit, finish, admission,
  } = createWorld({ slots: 1 });
  Array.from({ length: 100 }).forEach(() => {
    const work = submit('short', { cost: 10 });
    admission.settle(work, 10);
    submit('long', { cost: 30 });
  });
  Array.from({ length: 40 }).forEach(finish);
  expect(count(outcome.started, 'short') / count(outcome.started, 'long')).toBeCloseTo(3, 0);
});

test('a flood does not push others out', () => {
  const { outcome, submit } = createWorld({ slots: 1, maxQueue: 20 });
  submit('calm');
  Array.from({ length: 5 }).forEach(() => submit('calm'));
  Array.from({ length: 500 }).forEach(() => submit('flood'));
  expect(outcome.refused.every(({ org }) => org === 'flood')).toBe(true);
  expect(outcome.refused.length).toBe(485);
});

test('higher priority first, then the earlier deadline', () => {
  const { outcome, submit, finish } = createWorld({ slots: 1 });
  submit('first');
  const names: string[] = [];
  const named = (name: string, more: Partial<AdmissionWork>) => submit('org', { ...more, start: () => names.push(name) });
  named('late draft', { priority: 2 });
  named('chat', { priority: 5, deadline: 500 });
  named('urgent chat', { priority: 5, deadline: 100 });
  finish();
  expect(names).toEqual(['urgent chat', 'chat', 'late draft']);
  expect(outcome.refused).toEqual([]);
});

test('a refusal comes at once with a computed Retry-After', () => {
  const {
    clock, outcome, submit, finish,
  } = createWorld({ slots: 1, maxWaitMs: 1000 });
  Array.from({ length: 3 }).forEach(() => submit('org'));
  // One request in 100 ms: the rate becomes known, then a backlog of more than a second is refused.
  Array.from({ length: 12 }).forEach(() => {
    submit('org');
    clock.advance(100);
    finish();
  });
  Array.from({ length: 30 }).forEach(() => submit('org'));
  const refused = outcome.refused.filter(({ refusal }) => refusal.code === 'overloaded');
  expect(refused.length).toBeGreaterThan(0);
  refused.forEach(({ refusal }) => {
    expect(refusal.ran).toBe('no');
    expect(refusal.retryAfterMs).toBeGreaterThanOrEqual(250);
    expect(refusal.retryAfterMs).toBeLessThan(5000);
  });
});

test('work past its deadline is refused when it is seen', () => {
  const {
    clock, outcome, submit, admission,
  } = createWorld({ slots: 1 });
  submit('a');
  submit('b', { deadline: 50 });
  clock.advance(60);
  admission.drain();
  expect(outcome.refused.map(({ refusal }) => refusal.code)).toEqual(['deadline']);
});

test('work put back is not charged twice', () => {
  const {
    outcome, submit, finish, admission,
  } = createWorld({ slots: 1 });
  submit('other');
  const work = submit('a', { cost: 100 });
  submit('b');
  finish();
  admission.putBack(work);
  finish();
  expect(outcome.started).toEqual(['other', 'a', 'a']);
});

test('token bucket says when to come back', () => {
  const bucket = createTokenBucket(2, 2, 0);
  expect([bucket.take(0), bucket.take(0)]).toEqual([0, 0]);
  const waitMs = bucket.take(0);
  expect(waitMs).toBe(500);
  expect(bucket.take(waitMs)).toBe(0);
});

const intervalMs = 500;
const tickMs = 10;
const entries = ['e1', 'e2', 'e3', 'e4'];

/** Requests let in by all entries over a time, with reports that reach others late or never. */
function letIn(limit: { requestsPerSecond: number; burst: number }, options: {
  seconds: number;
  /** Requests per second that reach an entry. */
  offered(entry: string, ms: number): number;
  reports(ms: number): boolean;
}): number {
  const clock = new ManualClock();
  const limits = entries.map((name) => createOrgLimits({
    now: () => clock.now(), others: () => entries.filter((other) => other !== name),
  }));
  const due = entries.map(() => 0);

  function report() {
    const demands = limits.map((l) => l.demand().get('org') ?? 0);
    if (!options.reports(clock.now())) return;
    demands.forEach((demand, i) => limits.filter((_, j) => i !== j)
      .forEach((l) => l.hear(entries[i]!, 'org', { demand, at: clock.now() })));
  }

  /** Offers what is due at one entry; returns how many were let in. */
  function offer(i: number): number {
    const owed = due[i]! + (options.offered(entries[i]!, clock.now()) * tickMs) / 1000;
    const whole = Math.floor(owed);
    due[i] = owed - whole;
    return Array.from({ length: whole }, () => limits[i]!.enter('org', limit))
      .filter((refusal) => refusal === undefined).length;
  }

  return Array.from({ length: (options.seconds * 1000) / tickMs }).reduce<number>((total) => {
    if (clock.now() % intervalMs === 0) report();
    const entered = entries.map((_, i) => offer(i)).reduce((sum, n) => sum + n, 0);
    clock.advance(tickMs);
    return total + entered;
  }, 0);
}

const limit = { requestsPerSecond: 40, burst: 40 };
const others = entries.length - 1;
/** Age from which reports no longer count. */
const staleSeconds = 1.5;

test('limit across entries: one entry alone may use nearly all of it', () => {
  const total = letIn(limit, {
    seconds: 20, offered: (entry) => (entry === 'e1' ? 200 : 0), reports: () => true,
  });
  expect(total).toBeGreaterThan(limit.requestsPerSecond * 20 * 0.9);
  expect(total).toBeLessThanOrEqual(limit.requestsPerSecond * 20 + limit.burst);
});

test('limit across entries: demand that moves does not overshoot', () => {
  const total = letIn(limit, {
    seconds: 20,
    offered: (entry, ms) => (entry === entries[Math.floor(ms / 3000) % entries.length] ? 200 : 1),
    reports: () => true,
  });
  expect(total).toBeLessThanOrEqual(limit.requestsPerSecond * 20 + limit.burst);
});

test('limit across entries: lost reports overshoot no more than the stated bound', () => {
  const total = letIn(limit, {
    seconds: 20,
    // All but one entry are idle until the reports stop; then all want everything.
    offered: (entry, ms) => (entry === 'e1' || ms > 10_000 ? 200 : 0),
    reports: (ms) => ms <= 10_000,
  });
  const bound = limit.requestsPerSecond * (20 + others * staleSeconds) + limit.burst;
  expect(total).toBeLessThanOrEqual(bound);
});

test('an even part until every other entry was heard', () => {
  const share = createLimitShare();
  expect(share.part(100, ['b', 'c'], 0)).toBeCloseTo(1 / 3);
  share.hear('b', { demand: 0, at: 0 });
  share.hear('c', { demand: 0, at: 0 });
  expect(share.part(100, ['b', 'c'], 100)).toBeCloseTo(1 / 3);
  expect(share.part(100, ['b', 'c'], 700)).toBe(1);
  expect(share.part(100, ['b', 'c'], 2000)).toBeCloseTo(1 / 3);
});
