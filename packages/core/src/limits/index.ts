/** Rate and concurrency limits of organisations, and rate limits of targets. */
export * from './token-bucket.js';
export * from './target-buckets.js';
export * from './shares.js';
export * from './org-limits.js';
