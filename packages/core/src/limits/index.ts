/** Rate and concurrency limits of organisations. */
export * from './token-bucket.js';
export * from './shares.js';
export * from './org-limits.js';
