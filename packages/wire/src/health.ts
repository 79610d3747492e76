/** The HTTP endpoints that every daemon serves: /healthz, /readyz and /metrics. */

export interface HealthSource {
  /** Whether the load balancer may send requests to this process. */
  ready(): boolean;
  /** The metrics in the Prometheus text format. */
  metrics(): Promise<string>;
}

interface HealthResponse {
  statusCode: number;
  setHeader(name: string, value: string): unknown;
  end(body: string): unknown;
}

interface HealthRouter {
  get(path: string, handler: (req: unknown, res: HealthResponse) => unknown): unknown;
  head(path: string, handler: (req: unknown, res: HealthResponse) => unknown): unknown;
}

/** Adds the endpoints to a restana service. */
export function addHealthRoutes(app: HealthRouter, source: HealthSource) {
  const handleHealth = (_: unknown, res: HealthResponse) => {
    res.setHeader('cache-control', 'no-store');
    res.end('ok\n');
  };
  const handleReady = (_: unknown, res: HealthResponse) => {
    const isReady = source.ready();
    res.statusCode = isReady ? 200 : 503;
    res.setHeader('cache-control', 'no-store');
    res.end(isReady ? 'ready\n' : 'not ready\n');
  };
  app.get('/healthz', handleHealth);
  app.head('/healthz', handleHealth);
  app.get('/readyz', handleReady);
  app.head('/readyz', handleReady);
  app.get('/metrics', async (_, res) => {
    res.setHeader('content-type', 'text/plain; version=0.0.4');
    res.end(await source.metrics());
  });
}
