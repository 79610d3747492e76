/** Choice of targets for requests and calls. */
export * from './predict.js';
export * from './sample.js';
export * from './depth.js';
export * from './chain.js';
export * from './service.js';
