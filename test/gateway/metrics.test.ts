/** Gateway metrics: their labels, and the bound on the number of organisations. */
import { expect, test } from 'vitest';
import { createGatewayMetrics } from '@verbenashunt/gateway';
import { freePort } from '@verbenashunt/stand-ins';
import { callGateway, startGatewayFixture } from '../support/gateway-fixture.js';

const countsOf = async (metrics: ReturnType<typeof createGatewayMetrics>) => {
  const { values } = await metrics.registry
    .getSingleMetric('verbenashunt_gateway_organisation_requests_total')!.get();
  return new Map(values.map(({ labels, value }) => [
    `${labels.organisation} ${labels.outcome}`, value,
  ]));
};

test('counts requests by organisation and outcome', async () => {
  const metrics = createGatewayMetrics();
  metrics.ofRequest({ kind: 'once', organisation: 'a', priority: 4 }).requestEnded('answered');
  metrics.ofRequest({ kind: 'stream', organisation: 'a', priority: 4 }).requestEnded('answered');
  metrics.ofRequest({ kind: 'stream', organisation: undefined, priority: 4 }).requestEnded('cut');
  expect(await countsOf(metrics)).toEqual(new Map([['a answered', 2], ['none cut', 1]]));
});

test('counts 200 organisations separately and further ones together', async () => {
  const metrics = createGatewayMetrics();
  Array.from({ length: 1200 }, (_, i) => metrics
    .ofRequest({ kind: 'once', organisation: `org-${i}`, priority: 4 }).requestEnded('answered'));
  const counts = await countsOf(metrics);
  expect(counts.size).toBe(201);
  expect(counts.get('other answered')).toBe(1000);
});

test('counts waits and refusals of the queue by priority', async () => {
  const metrics = createGatewayMetrics();
  const request = metrics.ofRequest({ kind: 'stream', organisation: 'a', priority: 7 });
  request.waited(40);
  request.queueRefused('evicted');
  const text = await metrics.registry.metrics();
  expect(text).toContain('verbenashunt_gateway_wait_seconds_bucket{le="0.05",priority="7"} 1');
  expect(text).toContain('verbenashunt_gateway_queue_refusals_total{priority="7",reason="evicted"} 1');
});

test('records the time to the first byte by route kind', async () => {
  const metrics = createGatewayMetrics();
  metrics.ofRequest({ kind: 'stream', organisation: 'a', priority: 4 }).firstByteSent(40);
  const text = await metrics.registry.metrics();
  expect(text).toContain('verbenashunt_gateway_first_byte_seconds_bucket{le="0.05",kind="stream"} 1');
  expect(text).toContain('verbenashunt_gateway_first_byte_seconds_bucket{le="0.025",kind="stream"} 0');
});

test('the page of metrics shows the state at the time of its request', async () => {
  const metrics = { host: '127.0.0.1', port: await freePort() };
  const fixture = await startGatewayFixture({ apps: 2, gateway: { metrics } });
  const { body } = await callGateway(metrics.port, { path: '/metrics' });
  await fixture.close();
  expect(body).toContain('verbenashunt_gateway_targets{service="app"} 2');
  expect(body).toContain('verbenashunt_gateway_window_retries{service="app",state="made"} 0');
  expect(body).toMatch(/verbenashunt_gateway_window_retries\{service="app",state="allowed"\} 1\d\d/);
  expect(body).toContain('verbenashunt_gateway_waiting_requests{service="app",priority="8"} 0');
  expect(body).toContain('verbenashunt_gateway_limited_targets 0');
  expect(body).toContain('verbenashunt_gateway_crashing_parts 0');
});
