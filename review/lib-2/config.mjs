/** Configuration of the operator of a small deployment: one model service, one application. */

export const host = 'app.example';
export const key = 'key-1';
export const layers = 8;
export const cardKind = 'card';

/** The model needs 8,000 MB and a card has 5,000, so two servers hold it with room for requests. */
const engine = {
  slots: 134,
  kvCapacityTokens: 125_000,
  kvTokenBytes: 8000,
  linkMbps: 480_000,
  stride: 2,
  models: [{ name: 'model', loadS: 1 }],
  step_ms: 0.85,
  per_seq_ms: 0.003,
  context_per_k: 0.004,
  read_per_s: 252_000,
  pairs_per_m: 0.13,
  chunk: 512,
  report_lag_ms: 200,
  loads_at_once: 6,
  delays: [],
  usual: { prompt: 100, answer: 20 },
  layers,
  layerMb: 1000,
  activationBytes: 22_900,
  pipeMbps: 7900,
  kinds: [{
    name: cardKind, sizeMb: 5000, pace: 3.1, readFactor: 3.2,
  }],
};

export const operatorConfig = {
  version: 1,
  routes: [
    {
      name: 'explain', host, prefix: '/explain/', routeType: 'streaming', timeoutMs: 20_000, targetLatencyMs: 500, targetGapMs: 200, priority: 1, service: 'llm-pool', maxAttempts: 2, public: false, sticky: true, resumable: true,
    },
    {
      name: 'lookup', host, prefix: '/lookup/', routeType: 'idempotent', timeoutMs: 800, targetLatencyMs: 100, priority: 2, service: 'rank-app', maxAttempts: 2, public: false,
    },
  ],
  services: [
    {
      name: 'llm-pool', healthPath: '/health', maxConnections: 1128, protocol: 'h1', tls: false, engine,
    },
    {
      name: 'rank-app', healthPath: '/health', maxConnections: 100, protocol: 'h1', tls: false,
    },
  ],
  limits: {
    maxHeaderBytes: 16_384, maxBodyBytes: 65_536, headerTimeoutMs: 3000, idleTimeoutMs: 15_000,
  },
  tenants: [{ name: 'club', apiKeys: [key] }],
};

/** A model of 80 layers and 80,000 MB, for 20 cards and more in one zone. */
export const longModelLayers = 80;

export const longModelConfig = {
  ...operatorConfig,
  services: operatorConfig.services.map((service) => (service.engine
    ? { ...service, engine: { ...service.engine, layers: longModelLayers } }
    : service)),
};

export const largeCard = 'large-card';
export const smallCard = 'small-card';

/** The same model on cards that hold three of its layers, or one, with room for requests. */
export const mixedCardsConfig = {
  ...longModelConfig,
  services: longModelConfig.services.map((service) => (service.engine
    ? {
      ...service,
      engine: {
        ...service.engine,
        kinds: [
          {
            name: largeCard, sizeMb: 4000, pace: 3.1, readFactor: 3.2,
          },
          {
            name: smallCard, sizeMb: 2000, pace: 3.1, readFactor: 3.2,
          },
        ],
      },
    }
    : service)),
};
