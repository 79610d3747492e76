/** What operator and targets write, sound and spoiled, and how orders and answers are spelled. */
import { expect, test } from 'vitest';
import { ProtocolError, type ServingTarget } from '@verbenashunt/core';
import { createPlatformPorts } from '@verbenashunt/platform';
import { operatorConfig } from '@verbenashunt/platform/stand-in';

const { rows, targets } = createPlatformPorts('127.0.0.1:1');
const row = (key: string, value: unknown) => ({
  key, version: 1, value: value === undefined ? undefined : Buffer.from(typeof value === 'string' ? value : JSON.stringify(value)),
});
const config = (value: unknown) => rows.decodeConfig(row('config', value));

test('routes, kinds, objectives', () => {
  const { routes, organisations, version } = config(operatorConfig(7))!;
  expect(version).toBe(7);
  expect(routes.map(({ name, kind, resumable }) => [name, kind, resumable])).toEqual([
    ['read', 'idempotent', false], ['write', 'once', false], ['chat', 'stream', true],
    ['once', 'stream', false], ['open', 'idempotent', false],
  ]);
  expect(routes[2]).toMatchObject({ objectiveMs: 100, maxPauseMs: 100, split: [{ service: 'pool', weight: 1 }] });
  expect(organisations).toEqual([{ name: 'org', keys: ['key-1', 'key-2'], priority: 1 }]);
});

test('engines, cards and links', () => {
  const { services } = config(operatorConfig(1))!;
  expect(services[0]!.engine).toBeUndefined();
  expect(services[1]!.engine).toMatchObject({
    layers: 8,
    layerMb: 1000,
    loadS: 1,
    loadsAtOnce: 6,
    kinds: [{
      name: 'card', memoryMb: 9000, stepFactor: 2, readFactor: 2,
    }],
    delays: [{ from: 'zone-a', to: 'zone-b', ms: 0.25 }],
  });
});

test('a split, and fields that are not known', () => {
  const { routes, ...rest } = operatorConfig(1);
  const split = [{ service: 'app', weight: 90 }, { service: 'pool', weight: 10 }];
  const { service, ...plain } = routes[0]!;
  const decoded = config({ ...rest, routes: [{ ...plain, backends: split, new: 1 }], later: {} })!;
  expect([service, decoded.routes[0]!.split]).toEqual(['app', split]);
});

test.each([
  ['no JSON', '{'],
  ['no version', { ...operatorConfig(1), version: undefined }],
  ['an unknown kind of route', { ...operatorConfig(1), routes: [{ ...operatorConfig(1).routes[0], routeType: 'other' }] }],
])('a configuration with %s is refused as a whole', (_, value) => {
  expect(() => config(value)).toThrow(ProtocolError);
});

test('other rows of the table are no configuration', () => {
  expect(rows.decodeConfig(row('other', {}))).toBeUndefined();
  expect(rows.decodeConfig(row('config', undefined))).toBeUndefined();
});

const entry = {
  service: 'pool', address: '10.0.0.1:80', zone: 'a', version: 'v1', slots: 4, state: 'ready', sequence: 3, born: 5, routeType: 'card', layers: { from: 2, to: 5, version: 9 },
};
const target = (value: unknown) => rows.decodeTarget(row('id-1', value));

test('a target with its layers', () => {
  expect(target(entry)).toEqual({
    id: 'id-1', service: 'pool', address: '10.0.0.1:80', zone: 'a', draining: false, slots: 4, kind: 'card', held: { lo: 2, hi: 5, version: 9 }, startedAt: 5,
  });
  expect(target({ ...entry, layers: null, state: 'draining' })).toMatchObject({ held: undefined, draining: true });
  expect(target({ ...entry, layers: { from: 3, to: 3 } })!.held).toBeUndefined();
});

test.each([
  ['bytes that are no text', '\u0000\u0001'],
  ['no address', { ...entry, address: undefined }],
  ['an address that is a name', { ...entry, address: 'host:80' }],
  ['an unknown state', { ...entry, state: 'odd' }],
  ['a field of another type', { ...entry, slots: 'many' }],
  ['a list', []],
])('a row with %s names no target', (_, value) => {
  expect(() => target(value)).toThrow(ProtocolError);
});

test('a row that was removed', () => {
  expect(target(undefined)).toBeUndefined();
});

test.each([
  ['not run', 503, { 'not-executed': '1', 'at-server': '10.0.0.2:80' }, { notRun: true, blamed: '10.0.0.2:80' }],
  ['another target has the address', 421, { 'instance-id': 'x' }, { notRun: true }],
  ['a failure that may have run', 503, { 'request-id': 'r' }, { notRun: false, requestId: 'r' }],
  ['an answer', 200, { 'request-id': 'r' }, { notRun: false, requestId: 'r' }],
])('head: %s', (_, status, headers, expected) => {
  expect(targets.head(status, headers)).toMatchObject(expected);
});

test('orders and what came of them', () => {
  const at = { id: 'id-1', address: '10.0.0.1:80' } as ServingTarget;
  const { method, path, body } = targets.placeRequest(at, {
    lo: 2, hi: 9, fencingToken: 4, expectedOrders: 7,
  });
  expect([method, path]).toEqual(['POST', '/api/order']);
  expect(JSON.parse(body!.toString())).toEqual({
    operation: 'place', from: 2, to: 9, drainMode: 'queue', fencingToken: 4, expectedRevision: 7,
  });
  expect([202, 200, 409, 412, 400, 421, 500].map(targets.orderResult))
    .toEqual(['begun', 'done', 'conflict', 'fenced', 'refused', 'refused', 'refused']);
});

test('a report', () => {
  const text = JSON.stringify({
    busy: true, sequence: 4, layers: null, kvUsed: 10, kvTotal: 40, pace: 3, stalled: [{ id: 'r', address: 'x' }],
  });
  expect(targets.decodeReport(200, Buffer.from(text))).toMatchObject({
    busy: true, orders: 4, held: undefined, slowdown: 3, stalled: [{ requestId: 'r', address: 'x' }],
  });
  expect(() => targets.decodeReport(200, Buffer.from('{}'))).toThrow(ProtocolError);
  expect(() => targets.decodeReport(503, Buffer.from(text))).toThrow(ProtocolError);
});
