/** Classes of requests, with what each may expect. */

export interface RequestClass {
  name: string;
  /** Passed to the engines; the higher goes first. */
  priority: number;
  /** Share of a target's concurrency that the class may fill. */
  fill: number;
}

export const lookupClass: RequestClass = { name: 'lookup', priority: 8, fill: 1 };
export const chatClass: RequestClass = { name: 'chat', priority: 5, fill: 1 };
/** Long drafts leave room on each target for interactive requests. */
export const draftClass: RequestClass = { name: 'draft', priority: 2, fill: 0.9 };

/** Answers longer than this many tokens count as drafts unless the caller names a class. */
export const draftTokens = 512;

export const classOfChat = (maxTokens: number) => (maxTokens > draftTokens
  ? draftClass
  : chatClass);

/** Cost of a prompt token as a share of that of a generated one. */
const promptTokenCost = 0.25;

/** Expected work of a generation in generated tokens. */
export const generationCost = (promptTokens: number, answerTokens: number) => answerTokens
  + promptTokenCost * promptTokens;
