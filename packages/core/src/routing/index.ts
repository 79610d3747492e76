/** Choice of chains for requests to models and of targets for calls to plain services. */
export * from './predict.js';
export * from './sample.js';
export * from './concurrency.js';
export * from './chain.js';
export * from './service.js';
export * from './slowness.js';
