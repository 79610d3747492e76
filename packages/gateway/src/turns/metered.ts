/** Wrappers that count the work of timers and of answers for a turn meter. */
import type { Clock } from '@verbenashunt/core';
import type { Exchanger } from '@verbenashunt/wire';
import type { TurnMeter } from './turn-meter.js';

/** A clock whose timers count as work. */
export const createMeteredClock = (clock: Clock, meter: TurnMeter): Clock => ({
  now: () => clock.now(),
  wall: () => clock.wall(),
  after: (ms, callback) => clock.after(ms, () => meter.run('timer', callback)),
});

/** An exchanger whose responses count as work. */
export const createMeteredExchanger = (
  exchanger: Exchanger,
  meter: TurnMeter,
  cause: string,
): Exchanger => ({
  start: (address, req, handler, options) => exchanger.start(address, req, {
    head: (...head) => meter.run(cause, () => handler.head(...head)),
    data: (chunk) => meter.run(cause, () => handler.data(chunk)),
    end: () => meter.run(cause, () => handler.end()),
    failed: (err, isSent) => meter.run(cause, () => handler.failed(err, isSent)),
  }, options),
  dropIdle: (address) => exchanger.dropIdle(address),
  close: () => exchanger.close(),
});
