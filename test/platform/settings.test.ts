/** The platform's settings file is decoded; unknown fields are ignored and errors reported. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, test } from 'vitest';
import { SettingsError } from '@verbenashunt/core';
import { createSettingsLoader, decodeSettings, loadSettings } from '@verbenashunt/platform';

const settingsText = `
node = "edge-1"
zone = "zone-a"
region = "region"
ip = "10.0.0.1"
internalPorts = [7340, 7355]
heartbeatMs = 1200
later = { new = true }
[listen]
front = "10.0.0.1:8227"
readyAddr = "10.0.0.1:8220"
[bounds]
drainMs = 2000
graceS = 8
configApplyMs = 2000
retryBudgetRatio = 0.2
budgetWindowS = 10
budgetExtra = 198
[platform]
address = "10.200.1.7:8223"
`;

test('decodes settings into gateway options, ignoring unknown fields', () => {
  expect(decodeSettings(settingsText)).toEqual({
    storeAddress: '10.200.1.7:8223',
    gateway: {
      node: 'edge-1',
      zone: 'zone-a',
      front: { host: '10.0.0.1', port: 8227 },
      readiness: { host: '10.0.0.1', port: 8220, path: '/api/readiness' },
      metrics: { host: '10.0.0.1', port: 7340 },
      relay: { host: '10.0.0.1', port: 7341 },
      capacity: 1,
      changeBoundMs: 2000,
      graceMs: 8000,
      retries: {
        ratio: 0.2, extra: 198, windowMs: 10_000, lentShare: 0,
      },
      // A quarter of the heap of the process that runs the tests is more.
      maxBufferedBytes: 67_108_864,
      queue: { maxQueue: 200, maxQueueBytes: 8_388_608, priorityFloor: 0.1 },
      lapseGrace: { heartbeatMs: 1200, leaveMs: 2000 },
    },
  });
});

test.each([
  ['not TOML', 'node = ', /not TOML/],
  ['a missing field', settingsText.replace('zone = "zone-a"', ''), /zone/],
  ['a wrong type', settingsText.replace('graceS = 8', 'graceS = "8"'), /graceS must be number/],
  ['an address without a port', settingsText.replace('10.0.0.1:8227', '10.0.0.1'), /listen\.front is "10\.0\.0\.1"; it takes IP:PORT/],
  ['a port out of range', settingsText.replace(':8220', ':99999'), /listen\.readyAddr/],
])('rejects settings with an error: %s', (_, invalidText, message) => {
  expect(() => decodeSettings(invalidText)).toThrow(SettingsError);
  expect(() => decodeSettings(invalidText)).toThrow(message);
});

test('rejects a missing VERBENASHUNT_BOOT and one that names no file', async () => {
  await expect(loadSettings({})).rejects.toThrow(/VERBENASHUNT_BOOT is missing/);
  await expect(loadSettings({ VERBENASHUNT_BOOT: '/none' })).rejects.toThrow(/VERBENASHUNT_BOOT is "\/none"/);
});

test.each([
  ['cpuShare = 0.5\ncores = 2\nlinkMbps = 1000.0', 1],
  ['cpuShare = 1.35\ncores = 1\nlinkMbps = 14.0', 0.14],
])('a VM has the capacity of its cores, or of its link: %s', (limits, capacity) => {
  const text = `${settingsText}\n[limits]\n${limits}\n`;
  expect(decodeSettings(text).gateway.capacity).toBeCloseTo(capacity);
});

test('reads the limits of the queue from environment variables', async () => {
  const dir = await mkdtemp(join(tmpdir(), 'settings-'));
  const path = join(dir, 'boot.toml');
  await writeFile(path, settingsText);
  const { gateway } = await loadSettings({
    VERBENASHUNT_BOOT: path,
    VERBENASHUNT_MAX_QUEUE: '0',
    VERBENASHUNT_MAX_QUEUE_BYTES: '1000',
    VERBENASHUNT_MAX_BUFFERED_BYTES: '2000',
    VERBENASHUNT_PRIORITY_FLOOR: '0.05',
    VERBENASHUNT_LENT_RETRIES: '0.25',
  });
  await rm(dir, { recursive: true });
  expect(gateway.queue).toEqual({ maxQueue: 0, maxQueueBytes: 1000, priorityFloor: 0.05 });
  expect(gateway.maxBufferedBytes).toBe(2000);
  expect(gateway.retries.lentShare).toBe(0.25);
});

test.each([
  ['VERBENASHUNT_MAX_QUEUE', 'many', 'a whole number from 0 to 100000'],
  ['VERBENASHUNT_MAX_QUEUE', '-1', 'a whole number from 0 to 100000'],
  ['VERBENASHUNT_MAX_QUEUE', '', 'a whole number from 0 to 100000'],
  ['VERBENASHUNT_MAX_QUEUE_BYTES', '1e9', 'a whole number from 0 to 1073741824'],
  ['VERBENASHUNT_MAX_BUFFERED_BYTES', '64M', 'a whole number from 0 to 1073741824'],
  ['VERBENASHUNT_PRIORITY_FLOOR', '0.6', 'a number from 0 to 0.5'],
  ['VERBENASHUNT_LENT_RETRIES', '1', 'a number from 0 to 0.9'],
])('rejects %s "%s" with an error that tells what it takes', async (name, value, takes) => {
  await expect(loadSettings({ VERBENASHUNT_BOOT: '/none', [name]: value }))
    .rejects.toThrow(`${name} is "${value}"; it takes ${takes}`);
});

test('an unchanged file is not decoded again, and each change of it is noticed', async () => {
  const dir = await mkdtemp(join(tmpdir(), 'settings-'));
  const file = join(dir, 'settings.toml');
  const load = createSettingsLoader({ VERBENASHUNT_BOOT: file });
  try {
    await writeFile(file, settingsText);
    const first = await load();
    expect(await load()).toBe(first);
    await writeFile(file, 'node = ');
    await expect(load()).rejects.toThrow(SettingsError);
    await writeFile(file, settingsText.replace('graceS = 8', 'graceS = 9'));
    expect((await load()).gateway.graceMs).toBe(9000);
  } finally {
    await rm(dir, { recursive: true });
  }
});
