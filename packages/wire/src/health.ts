/** The HTTP endpoints that every daemon serves: /healthz, /readyz and /metrics. */

export interface HealthSource {
  /** Whether the balancer may send work here. */
  ready(): boolean;
  metrics(): Promise<string>;
}

interface HealthRes {
  statusCode: number;
  setHeader(name: string, value: string): unknown;
  end(body: string): unknown;
}

interface HealthApp {
  get(path: string, handler: (req: unknown, res: HealthRes) => unknown): unknown;
}

/** Adds the endpoints to a restana service. */
export function addHealthRoutes(app: HealthApp, source: HealthSource) {
  app.get('/healthz', (_, res) => res.end('ok\n'));
  app.get('/readyz', (_, res) => {
    res.statusCode = source.ready() ? 200 : 503;
    res.end(source.ready() ? 'ready\n' : 'not ready\n');
  });
  app.get('/metrics', async (_, res) => {
    res.setHeader('content-type', 'text/plain; version=0.0.4');
    res.end(await source.metrics());
  });
}
