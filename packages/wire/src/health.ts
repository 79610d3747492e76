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
  head(path: string, handler: (req: unknown, res: HealthRes) => unknown): unknown;
}

/** Adds the endpoints to a restana service. */
export function addHealthRoutes(app: HealthApp, source: HealthSource) {
  const healthy = (_: unknown, res: HealthRes) => {
    res.setHeader('cache-control', 'no-store');
    res.end('ok\n');
  };
  const ready = (_: unknown, res: HealthRes) => {
    const isReady = source.ready();
    res.statusCode = isReady ? 200 : 503;
    res.setHeader('cache-control', 'no-store');
    res.end(isReady ? 'ready\n' : 'not ready\n');
  };
  app.get('/healthz', healthy);
  app.head('/healthz', healthy);
  app.get('/readyz', ready);
  app.head('/readyz', ready);
  app.get('/metrics', async (_, res) => {
    res.setHeader('content-type', 'text/plain; version=0.0.4');
    res.end(await source.metrics());
  });
}
