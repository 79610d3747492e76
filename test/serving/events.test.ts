/**
 * Event streams: splitting of bytes that arrive in arbitrary chunks, and the check of event ids.
 */
import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  createEventOrder, createEventSplitter, isComment, isEventText,
} from '@verbenashunt/core';

const text = 'id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\n: comment\n\nid: 3\ndata: \u00e9\n\n';
const bytes = Buffer.from(text);

function split(cuts: number[]) {
  const splitter = createEventSplitter();
  const edges = [0, ...[...cuts].sort((a, b) => a - b), bytes.length];
  const events = edges.slice(1).flatMap((to, i) => splitter.push(bytes.subarray(edges[i], to)));
  return { events, pending: splitter.pendingBytes };
}

test('returns complete events byte for byte, however the stream is chunked', () => {
  fc.assert(fc.property(fc.array(fc.nat(bytes.length)), (cuts) => {
    const { events, pending } = split(cuts);
    expect(Buffer.concat(events.map((event) => event.bytes)).equals(bytes)).toBe(true);
    expect(events.map(({ id }) => id)).toEqual([1, 2, undefined, 3]);
    expect(pending).toBe(0);
  }));
});

test('holds back an incomplete event', () => {
  const splitter = createEventSplitter();
  expect(splitter.push(Buffer.from('id: 1\ndata: a\n'))).toEqual([]);
  expect(splitter.pendingBytes).toBe(14);
});

test.each([
  ['data: a\nevent: b\nretry: 5\n\n', true, false],
  [': ping\r\n\r\n', true, true],
  ['\n\n', true, true],
  ['data\n\n', true, false],
  ['HTTP/1.1 502 Bad Gateway\r\nrequest-id: 5\r\n\r\n', false, false],
  ['{"error":"unknown"}\n\n', false, false],
])('tells events, comments and other text apart: %j', (part, isEvent, isOnlyComment) => {
  const event = { bytes: Buffer.from(part), id: undefined };
  expect(isEventText(event)).toBe(isEvent);
  expect(isComment(event)).toBe(isOnlyComment);
});

test('detects repeated events and gaps', () => {
  const order = createEventOrder(undefined);
  const verdicts = [4, 5, 5, 4, 6, 8, 7].map((id) => order.accept({ bytes, id }));
  expect(verdicts).toEqual(['deliver', 'deliver', 'repeated', 'repeated', 'deliver', 'gap', 'deliver']);
  expect(order.last).toBe(7);
});

test('a resumed stream starts after the last event that the caller has', () => {
  const order = createEventOrder(3);
  expect([3, 5, 4].map((id) => order.accept({ bytes, id }))).toEqual(['repeated', 'gap', 'deliver']);
});
