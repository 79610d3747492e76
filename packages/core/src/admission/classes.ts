/** Request classes with their engine priority and concurrency share. */

export interface RequestClass {
  name: string;
  /** Passed to the engines; higher values run first. */
  priority: number;
  /** Share of a target's concurrency limit that the class may use, from 0 to 1. */
  concurrencyShare: number;
}

export const lookupClass: RequestClass = { name: 'lookup', priority: 8, concurrencyShare: 1 };
export const chatClass: RequestClass = { name: 'chat', priority: 5, concurrencyShare: 1 };
/** Long generations leave part of each target's concurrency to interactive requests. */
export const draftClass: RequestClass = { name: 'draft', priority: 2, concurrencyShare: 0.9 };

/**
 * Requests for more than this many answer tokens are classed as drafts unless the caller sets a
 * class.
 */
export const draftThresholdTokens = 512;

export const classOfChat = (maxTokens: number) => (maxTokens > draftThresholdTokens
  ? draftClass
  : chatClass);

/** Cost of a prompt token relative to a generated token. */
const promptTokenCost = 0.25;

/** Expected cost of a generation, in units of one generated token. */
export const generationCost = (promptTokens: number, answerTokens: number) => answerTokens
  + promptTokenCost * promptTokens;
