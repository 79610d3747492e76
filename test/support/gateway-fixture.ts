/** A gateway in the test process, with stand-ins for the store and the targets of the platform. */
import { request as httpRequest, type IncomingHttpHeaders } from 'node:http';
import { pino } from 'pino';
import { vi } from 'vitest';
import { createGateway, type Gateway, type GatewayOptions } from '@verbenashunt/gateway';
import { createPlatformPorts, type PlatformPortsOptions } from '@verbenashunt/platform';
import {
  operatorConfig, startStore, startTarget,
  type StoreStandIn, type TargetOptions, type TargetStandIn,
} from '@verbenashunt/platform/stand-in';

const host = '127.0.0.1';

export interface CallerAnswer {
  status: number;
  headers: IncomingHttpHeaders;
  body: string;
  /** Whether the answer was complete according to its HTTP framing. */
  isComplete: boolean;
}

export interface CallOptions {
  method?: string;
  path?: string;
  headers?: Record<string, string>;
  body?: string;
  /** Closes the connection after this time in milliseconds. */
  closeAfterMs?: number;
}

let sequence = 0;

/** Sends one request; resolves in any case, with status 0 if there was no answer. */
export function callGateway(port: number, options: CallOptions = {}): Promise<CallerAnswer> {
  sequence += 1;
  return new Promise((resolve) => {
    let body = '';
    const req = httpRequest({
      host,
      port,
      method: options.method ?? 'GET',
      path: options.path ?? '/read/a',
      agent: false,
      headers: {
        host: 'app.example',
        'request-id': `req-${sequence}`,
        'request-deadline-ms': '1500',
        authorization: 'Bearer key-1',
        ...options.headers,
      },
    }, (res) => {
      const done = () => resolve({
        status: res.statusCode!, headers: res.headers, body, isComplete: res.complete,
      });
      res.setEncoding('utf8').on('data', (text: string) => {
        body += text;
      });
      res.on('error', done).on('close', done);
    });
    req.on('error', () => resolve({
      status: 0, headers: {}, body, isComplete: false,
    }));
    if (options.closeAfterMs !== undefined) setTimeout(() => req.destroy(), options.closeAfterMs);
    req.end(options.body);
  });
}

export const streamHeaders = { model: 'model', 'token-usage': '50,20' };

export interface GatewayFixture {
  store: StoreStandIn;
  gateway: Gateway;
  apps: TargetStandIn[];
  pool: TargetStandIn[];
  call(options?: CallOptions): Promise<CallerAnswer>;
  stream(options?: CallOptions): Promise<CallerAnswer>;
  close(): Promise<void>;
}

export interface GatewayFixtureOptions {
  apps?: number;
  /** Ranges of layers that the engines hold at the start, one for each engine. */
  pool?: [number, number][];
  engine?: Partial<TargetOptions>;
  config?: object;
  gateway?: Partial<GatewayOptions>;
  ports?: PlatformPortsOptions;
}

export async function startGateway(
  store: StoreStandIn,
  node = 'entry-1',
  overrides: Partial<GatewayOptions> = {},
  ports: PlatformPortsOptions = {},
) {
  return createGateway({
    node,
    zone: 'zone-a',
    front: { host, port: 0 },
    readiness: { host, port: 0, path: '/api/readiness' },
    metrics: undefined,
    relay: undefined,
    capacity: 1,
    changeBoundMs: 2000,
    graceMs: 3000,
    retries: { ratio: 0.2, extra: 200, windowMs: 10_000 },
    maxBufferedBytes: 64 * 1024 * 1024,
    queue: { maxQueue: 200, maxQueueBytes: 8 * 1024 * 1024, priorityFloor: 0.1 },
    lapseGrace: { heartbeatMs: 1000, leaveMs: 2000 },
    ...overrides,
  }, { log: pino({ level: 'silent' }), ports: createPlatformPorts(store.address, ports) });
}

/** Starts a store, targets and a gateway; resolves when the gateway serves requests. */
export async function startGatewayFixture(
  options: GatewayFixtureOptions = {},
): Promise<GatewayFixture> {
  const store = await startStore();
  store.put('op', 'config', operatorConfig(1, options.config));
  const apps = await Promise.all(Array.from(
    { length: options.apps ?? 2 },
    (_, i) => startTarget({ id: `app-${i}` }),
  ));
  const pool = await Promise.all((options.pool ?? []).map(async ([from, to], i) => {
    const target = await startTarget({ id: `engine-${i}`, kind: 'card', ...options.engine });
    return Object.assign(target, { held: { from, to, version: 1 } });
  }));
  apps.forEach((app) => store.put('servers', app.id, app.row('app')));
  pool.forEach((engine) => store.put('servers', engine.id, engine.row('pool')));
  const gateway = await startGateway(store, 'entry-1', options.gateway, options.ports);
  const call = (more?: CallOptions) => callGateway(gateway.ports.front, more);
  await vi.waitFor(async () => {
    const { status } = await call({ path: '/open/warm' });
    if (status !== 200) throw new Error(`gateway does not serve yet: status ${status}`);
  }, { timeout: 10_000 });
  apps.forEach((app) => Object.assign(app, { ran: [], arrivals: 0, contacts: 0 }));
  return {
    store,
    gateway,
    apps,
    pool,
    call,
    stream: (more = {}) => call({
      method: 'POST', path: '/chat/x', body: 'prompt', ...more, headers: { ...streamHeaders, ...more.headers },
    }),
    async close() {
      await gateway.stop(AbortSignal.abort());
      await Promise.all([store, ...apps, ...pool].map((standIn) => standIn.close()));
    },
  };
}
