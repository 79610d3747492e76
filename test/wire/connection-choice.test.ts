/** Which connection is closed for a new one: never one that waits for an answer, or a fresh one. */
import { expect, test } from 'vitest';
import { chooseToClose } from '@verbenashunt/wire';

const now = 100_000;
const connection = (name: string, idleMs: number, isAnswerDue = false) => [
  name, { lastProgressAt: now - idleMs, isAnswerDue },
] as const;

test('the one without progress for longest', () => {
  const open = [connection('a', 5000), connection('b', 9000), connection('c', 2000)];
  expect(chooseToClose(open, now)).toBe('b');
});

test('none on which an answer is due', () => {
  const open = [connection('slow answer', 60_000, true), connection('idle', 3000)];
  expect(chooseToClose(open, now)).toBe('idle');
});

test('none that is fresh, as its first request may be on its way', () => {
  expect(chooseToClose([connection('a', 999), connection('b', 0)], now)).toBeUndefined();
});

test('none if there is none', () => {
  expect(chooseToClose([], now)).toBeUndefined();
});
