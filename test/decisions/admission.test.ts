/** Admission control: fair queueing, refusals, and organisation limits across entries. */
import { expect, test } from 'vitest';
import {
  createAdmission, createLimitShare, createOrgLimits, createTokenBucket, ManualClock,
  type AdmissionWork, type Refusal,
} from '@verbenashunt/core';

interface Outcome {
  started: string[];
  refused: { org: string; refusal: Refusal }[];
}

function createTestAdmission(options: { slots: number; maxQueue?: number; maxWaitMs?: number }) {
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
    admission.dispatch();
  }
  return {
    clock, outcome, admission, submit, finish,
  };
}

const count = (list: readonly string[], org: string) => list.filter((o) => o === org).length;

test('organisations share a busy resource by weight', () => {
  const { outcome, submit, finish } = createTestAdmission({ slots: 1 });
  Array.from({ length: 100 }).forEach(() => {
    submit('large', { weight: 3 });
    submit('small');
  });
  Array.from({ length: 80 }).forEach(finish);
  expect(count(outcome.started, 'large') / count(outcome.started, 'small')).toBeCloseTo(3, 0);
});

test('starts are shared in inverse proportion to cost', () => {
  const {
    outcome, submit, finish, admission,
  } = createTestAdmission({ slots: 1 });
  Array.from({ length: 100 }).forEach(() => {
    const work = submit('short', { cost: 10 });
    admission.recordActualCost(work, 10);
    submit('long', { cost: 30 });
  });
  Array.from({ length: 40 }).forEach(finish);
  expect(count(outcome.started, 'short') / count(outcome.started, 'long')).toBeCloseTo(3, 0);
});

test('a flood from one organisation does not evict the work of others', () => {
  const { outcome, submit } = createTestAdmission({ slots: 1, maxQueue: 20 });
  submit('calm');
  Array.from({ length: 5 }).forEach(() => submit('calm'));
  Array.from({ length: 500 }).forEach(() => submit('flood'));
  expect(outcome.refused.every(({ org }) => org === 'flood')).toBe(true);
  expect(outcome.refused.length).toBe(485);
});

test('work of one organisation starts by priority, then by deadline', () => {
  const { outcome, submit, finish } = createTestAdmission({ slots: 1 });
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

test('an overloaded resource refuses work immediately with a Retry-After', () => {
  const {
    clock, outcome, submit, finish,
  } = createTestAdmission({ slots: 1, maxWaitMs: 1000 });
  Array.from({ length: 3 }).forEach(() => submit('org'));
  // One request per 100 ms establishes the service rate; after that, work whose estimated wait
  // exceeds 1 s is refused.
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

test('a dispatch refuses queued work past its deadline', () => {
  const {
    clock, outcome, submit, admission,
  } = createTestAdmission({ slots: 1 });
  submit('a');
  submit('b', { deadline: 50 });
  clock.advance(60);
  admission.dispatch();
  expect(outcome.refused.map(({ refusal }) => refusal.code)).toEqual(['deadline']);
});

test('requeued work is not charged twice', () => {
  const {
    outcome, submit, finish, admission,
  } = createTestAdmission({ slots: 1 });
  submit('other');
  const work = submit('a', { cost: 100 });
  submit('b');
  finish();
  admission.requeue(work);
  finish();
  expect(outcome.started).toEqual(['other', 'a', 'a']);
});

test('token bucket returns the wait until the next token', () => {
  const bucket = createTokenBucket(2, 2, 0);
  expect([bucket.take(0), bucket.take(0)]).toEqual([0, 0]);
  const waitMs = bucket.take(0);
  expect(waitMs).toBe(500);
  expect(bucket.take(waitMs)).toBe(0);
});

const intervalMs = 500;
const tickMs = 10;
const entries = ['e1', 'e2', 'e3', 'e4'];

/** Number of requests that all entries admit, with demand reports that may be lost. */
function countAdmitted(limit: { requestsPerSecond: number; burst: number }, options: {
  seconds: number;
  /** Requests per second that arrive at an entry. */
  arrivalRate(entry: string, ms: number): number;
  /** Whether reports sent at this time are delivered. */
  areReportsDelivered(ms: number): boolean;
}): number {
  const clock = new ManualClock();
  const limits = entries.map((name) => createOrgLimits({
    now: () => clock.now(), otherEntries: () => entries.filter((other) => other !== name),
  }));
  /** Fractional request of each entry that is carried over to the next tick. */
  const remainders = entries.map(() => 0);

  function exchangeReports() {
    const demands = limits.map((l) => l.measureDemand().get('org') ?? 0);
    if (!options.areReportsDelivered(clock.now())) return;
    demands.forEach((demand, i) => limits.filter((_, j) => i !== j)
      .forEach((l) => l.recordPeerDemand(entries[i]!, 'org', { demand, at: clock.now() })));
  }

  /** Sends one tick's requests to an entry; returns how many were admitted. */
  function sendRequests(i: number): number {
    const requests = remainders[i]!
      + (options.arrivalRate(entries[i]!, clock.now()) * tickMs) / 1000;
    const whole = Math.floor(requests);
    remainders[i] = requests - whole;
    return Array.from({ length: whole }, () => limits[i]!.acquire('org', limit))
      .filter((refusal) => refusal === undefined).length;
  }

  return Array.from({ length: (options.seconds * 1000) / tickMs }).reduce<number>((total) => {
    if (clock.now() % intervalMs === 0) exchangeReports();
    const admitted = entries.map((_, i) => sendRequests(i)).reduce((sum, n) => sum + n, 0);
    clock.advance(tickMs);
    return total + admitted;
  }, 0);
}

const limit = { requestsPerSecond: 40, burst: 40 };
const otherCount = entries.length - 1;
/** Age from which a report is ignored. */
const staleSeconds = 1.5;

test('limit across entries: a single busy entry may use nearly all of it', () => {
  const total = countAdmitted(limit, {
    seconds: 20, arrivalRate: (entry) => (entry === 'e1' ? 200 : 0), areReportsDelivered: () => true,
  });
  expect(total).toBeGreaterThan(limit.requestsPerSecond * 20 * 0.9);
  expect(total).toBeLessThanOrEqual(limit.requestsPerSecond * 20 + limit.burst);
});

test('limit across entries: demand that moves between entries does not exceed it', () => {
  const total = countAdmitted(limit, {
    seconds: 20,
    arrivalRate: (entry, ms) => (
      entry === entries[Math.floor(ms / 3000) % entries.length] ? 200 : 1),
    areReportsDelivered: () => true,
  });
  expect(total).toBeLessThanOrEqual(limit.requestsPerSecond * 20 + limit.burst);
});

test('limit across entries: lost reports exceed it by at most the documented bound', () => {
  const total = countAdmitted(limit, {
    seconds: 20,
    // One entry is busy until the reports stop; from then on all entries are.
    arrivalRate: (entry, ms) => (entry === 'e1' || ms > 10_000 ? 200 : 0),
    areReportsDelivered: (ms) => ms <= 10_000,
  });
  const bound = limit.requestsPerSecond * (20 + otherCount * staleSeconds) + limit.burst;
  expect(total).toBeLessThanOrEqual(bound);
});

test('an entry uses 1 / entries of a limit without recent reports from all other entries', () => {
  const share = createLimitShare();
  expect(share.fraction(100, ['b', 'c'], 0)).toBeCloseTo(1 / 3);
  share.recordReport('b', { demand: 0, at: 0 });
  share.recordReport('c', { demand: 0, at: 0 });
  expect(share.fraction(100, ['b', 'c'], 100)).toBeCloseTo(1 / 3);
  expect(share.fraction(100, ['b', 'c'], 700)).toBe(1);
  expect(share.fraction(100, ['b', 'c'], 2000)).toBeCloseTo(1 / 3);
});
