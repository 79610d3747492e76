/** For which target an announcement in an answer holds, whatever the list says when it arrives. */
import type { IncomingHttpHeaders } from 'node:http';
import { pino } from 'pino';
import { expect, test } from 'vitest';
import {
  createTargetPauses, createTargetRateLimits, createTargetTable, ManualClock, type ServingTarget,
} from '@verbenashunt/core';
import { createTargetExchanger } from '@verbenashunt/gateway';
import { createPlatformPorts } from '@verbenashunt/platform';
import type { ExchangeHandler } from '@verbenashunt/wire';
import { servingTarget } from '../support/serving-target.js';

const asked = servingTarget('asked');
/** Has taken over the address. */
const successor = { ...asked, id: 'successor' };
const announcing = { 'server-leaving': '1', 'server-limit': '3', 'retry-after': '2' };

/** Sends a request to `asked`; `listed` is what the list holds when the answer arrives. */
function receive(listed: ServingTarget[], status: number, headers: IncomingHttpHeaders) {
  const clock = new ManualClock();
  const handlers: ExchangeHandler[] = [];
  const targets = createTargetTable();
  const pauses = createTargetPauses(clock);
  const rateLimits = createTargetRateLimits(clock);
  const exchanger = createTargetExchanger({
    log: pino({ level: 'silent' }),
    exchanger: {
      start(_, __, handler) {
        handlers.push(handler);
        return { isSent: true, abort() {} };
      },
      dropIdle() {},
      close() {},
    },
    protocol: createPlatformPorts('127.0.0.1:9').targets,
    targets,
    pauses,
    rateLimits,
    rateLimiter: { take: async () => 0 },
  });
  targets.reset([asked]);
  exchanger.to(asked).start(asked.address, {
    method: 'GET', path: '/', headers: [], body: undefined,
  }, {
    head() {}, data() {}, end() {}, failed() {},
  }, { dedicatedConnection: true });
  targets.reset(listed);
  handlers[0]!.head(status, headers, true);
  // The rows of both come back.
  targets.reset([asked, successor]);
  const stateOf = (target: ServingTarget) => ({
    draining: targets.byId(target.id)!.draining,
    limit: rateLimits.limitOf(target),
    isPaused: pauses.isPaused(target),
  });
  return { asked: stateOf(asked), successor: stateOf(successor) };
}

const unmarked = { draining: false, limit: undefined, isPaused: false };

// Guards against work for a target that said it was leaving when its row was gone.
test.each([
  ['the target asked', [asked]], ['no target', []], ['another target', [successor]],
] as const)('what an answer announces holds for the target asked if the list has %s at its address', (_, listed) => {
  expect(receive([...listed], 503, announcing)).toEqual({
    asked: { draining: true, limit: 3, isPaused: true }, successor: unmarked,
  });
});

// Guards against marking the target asked for what its successor at the address says.
test('an answer of another target at the address announces nothing', () => {
  expect(receive([asked], 421, announcing)).toEqual({ asked: unmarked, successor: unmarked });
});
