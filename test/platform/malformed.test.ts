/** Parsers of the gateway return a value for malformed input or throw their own class of error. */
import type { IncomingHttpHeaders, IncomingMessage } from 'node:http';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  createEventSplitter, parseCrashRecord, parseLease, ProtocolError, RefusalError, SettingsError,
} from '@verbenashunt/core';
import { decodeChanges } from '@verbenashunt/gateway';
import { createPlatformPorts, decodeSettings } from '@verbenashunt/platform';
import { operatorConfig } from '@verbenashunt/platform/stand-in';

const seed = 20_261_204;
const runs = { seed, numRuns: 3000 };
const { rows, callers, targets } = createPlatformPorts('127.0.0.1:1');

/** Fails unless the call returns or throws an error of this class. */
function expectOnly(call: () => unknown, error: abstract new (...args: never[]) => Error) {
  try {
    call();
  } catch (err) {
    expect(err).toBeInstanceOf(error);
  }
}

/** JSON that differs from a valid value in one field, or any JSON at all. */
const almost = (value: object) => fc.oneof(
  fc.json(),
  fc.string(),
  fc.tuple(fc.constantFrom(...Object.keys(value)), fc.jsonValue())
    .map(([key, other]) => JSON.stringify({ ...value, [key]: other })),
);

const serverRow = {
  service: 'app', address: '10.0.0.1:80', zone: 'z', state: 'ready', slots: 1, born: 1, layers: { from: 0, to: 4 },
};
const report = {
  busy: false, sequence: 1, kvUsed: 1, kvTotal: 2, pace: 1, layers: { from: 0, to: 4 }, stalled: [],
};
const changes = {
  version: 1, era: 0, now: 1, rows: [{ key: 'k', value: 'AAAA', version: 1 }],
};

const toRow = (key: string, text: string) => ({ key, value: Buffer.from(text), version: 1 });

test.each<[string, object, (text: string) => unknown]>([
  ['rows of targets', serverRow, (text) => rows.decodeTarget(toRow('k', text))],
  [
    'configurations',
    operatorConfig(1),
    (text) => rows.decodeConfig(toRow('config', text)),
  ],
  ['reports', report, (text) => targets.decodeReport(200, Buffer.from(text))],
  ['relayed changes', changes, decodeChanges],
])('malformed %s throw nothing but a ProtocolError', (_, value, decode) => {
  fc.assert(fc.property(almost(value), (text) => {
    expectOnly(() => decode(text), ProtocolError);
  }), runs);
});

test('malformed records of crashes and leases throw nothing', () => {
  const record = { crashes: [{ target: 't', fingerprints: [] }], acquittals: [], begun: [] };
  fc.assert(fc.property(almost(record), fc.jsonValue(), (text, value) => {
    parseCrashRecord(value);
    parseLease(value);
    expectOnly(() => parseCrashRecord(JSON.parse(text)), SyntaxError);
  }), runs);
});

test('malformed settings throw nothing but a SettingsError', () => {
  const line = fc.oneof(fc.string(), fc.constantFrom('node = "a"', '[listen]', 'front = "1:2"', '[bounds]', 'graceS = 1'));
  fc.assert(fc.property(fc.array(line), (lines) => {
    expectOnly(() => decodeSettings(lines.join('\n')), SettingsError);
  }), runs);
});

const headerNames = [
  'request-id', 'request-deadline-ms', 'token-usage', 'prompt-prefix', 'last-event-id', 'connection', 'authorization', 'host',
];
const headerValue = fc.oneof(
  fc.string(),
  fc.constantFrom('Infinity,1', '-5,-7', '1e308,1e308', 'NaN', '9'.repeat(400), '0x10,1', '1.5,2', ','),
);
const headersOf = (names: readonly string[]) => fc
  .dictionary(fc.constantFrom(...names), headerValue);

const toRequest = (headers: IncomingHttpHeaders) => ({
  headers, rawHeaders: Object.entries(headers).flat(), url: '/', method: 'GET',
}) as unknown as IncomingMessage;

test('malformed headers of callers give a refusal, or counts that can be added up', () => {
  fc.assert(fc.property(headersOf(headerNames), (headers) => {
    expectOnly(() => {
      const {
        promptTokens, maxAnswerTokens, deadlineMs, lastEventId,
      } = callers.read(toRequest(headers));
      [promptTokens, maxAnswerTokens, deadlineMs, lastEventId].filter((n) => n !== undefined)
        .forEach((n) => expect(Number.isSafeInteger(n) && n >= 0, String(n)).toBe(true));
    }, RefusalError);
  }), runs);
});

test('malformed headers of targets throw nothing, and give no endless pause or rate', () => {
  const names = ['request-id', 'not-executed', 'at-server', 'server-leaving', 'server-limit', 'retry-after'];
  fc.assert(fc.property(fc.integer({ min: 0, max: 999 }), headersOf(names), (status, headers) => {
    targets.head(status, headers);
    const { pauseMs = 0, limitPerS = 0 } = targets.announcement(status, headers) ?? {};
    expect(Number.isFinite(pauseMs) && Number.isFinite(limitPerS)).toBe(true);
  }), runs);
});

test('events are the same however their bytes are split', () => {
  const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: c\n\ndata: d\n\n\n\nid: 3';
  const split = (bytes: Buffer, cuts: readonly number[]) => {
    const splitter = createEventSplitter();
    const ends = [...cuts].sort((a, b) => a - b).concat(bytes.length);
    const events = ends.flatMap((end, i) => splitter.push(bytes.subarray(ends[i - 1] ?? 0, end)));
    return [...events.map((event) => `${event.id} ${event.bytes.toString()}`), splitter.pendingBytes];
  };
  const whole = split(Buffer.from(text), []);
  fc.assert(fc.property(fc.array(fc.nat(text.length)), (cuts) => {
    expect(split(Buffer.from(text), cuts)).toEqual(whole);
  }), runs);
});

test('an event of the largest size that arrives byte by byte does not block the process', () => {
  const splitter = createEventSplitter();
  const byte = Buffer.from(':');
  const startedAt = performance.now();
  Array.from({ length: 256 * 1024 }).forEach(() => splitter.push(byte));
  expect(performance.now() - startedAt).toBeLessThan(1500);
});
