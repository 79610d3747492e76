/** Prompt-prefix cache of bounded size, with events that are late and have gaps. */
import QuickLru from 'quick-lru';

/** Tokens in one block of the cache. */
export const blockTokens = 16;

export interface CacheEvent {
  id: number;
  kind: 'stored' | 'evicted';
  block: string;
}

export interface PrefixCache {
  /** Tokens of the inputs found in the cache; stores the rest. */
  match(inputs: readonly (string | number)[]): number;
  /** Events after an id, as far as they are published. */
  events(after: number): CacheEvent[];
}

interface PrefixCacheOptions {
  blocks: number;
  /** Milliseconds between a change and its event. */
  delayMs: number;
  /** Each event whose id is a multiple of this is never published; 0 publishes all. */
  gapEvery: number;
}

const maxEvents = 1000;

export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
  let nextId = 1;
  let published: CacheEvent[] = [];

  function publish(kind: CacheEvent['kind'], block: string) {
    const event = { id: nextId, kind, block };
    nextId += 1;
    if (options.gapEvery > 0 && event.id % options.gapEvery === 0) return;
    setTimeout(() => {
      published = [...published, event].slice(-maxEvents);
    }, options.delayMs);
  }

  const cache = new QuickLru<string, true>({
    maxSize: Math.max(1, options.blocks),
    onEviction: (block) => publish('evicted', block),
  });

  function chainHashes(inputs: readonly (string | number)[]): string[] {
    let hash = 0;
    return inputs.flatMap((input, i) => {
      hash = (Math.imul(hash ^ (typeof input === 'number' ? input + 1 : Number.parseInt(input, 16)), 0x01000193) >>> 0);
      return (i + 1) % blockTokens === 0 ? [hash.toString(16)] : [];
    });
  }

  return {
    match(inputs) {
      if (options.blocks === 0 || inputs.length < blockTokens) return 0;
      const blocks = chainHashes(inputs);
      const missing = blocks.findIndex((block) => !cache.get(block));
      const hits = missing === -1 ? blocks.length : missing;
      blocks.slice(hits).forEach((block) => {
        cache.set(block, true);
        publish('stored', block);
      });
      return hits * blockTokens;
    },
    events: (after) => published.filter(({ id }) => id > after),
  };
}
