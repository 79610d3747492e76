/** Prompt prefix cache of bounded size, which publishes events with a delay and with gaps. */
import QuickLru from 'quick-lru';

/** Tokens per cache block. */
export const blockTokens = 16;

export interface CacheEvent {
  id: number;
  kind: 'stored' | 'evicted';
  block: string;
}

export interface PrefixCache {
  /** Returns how many leading inputs are cached; stores the remaining whole blocks. */
  match(inputs: readonly (string | number)[]): number;
  /** Returns the published events with a higher id. */
  events(after: number): CacheEvent[];
}

interface PrefixCacheOptions {
  blocks: number;
  /** Milliseconds between a change and the publication of its event. */
  delayMs: number;
  /** Skips each event whose id is a multiple of this; 0 publishes all. */
  gapEvery: number;
}

const maxPublishedEvents = 1000;

export function createPrefixCache(options: PrefixCacheOptions): PrefixCache {
  let nextId = 1;
  let published: CacheEvent[] = [];

  function publish(kind: CacheEvent['kind'], block: string) {
    const event = { id: nextId, kind, block };
    nextId += 1;
    if (options.gapEvery > 0 && event.id % options.gapEvery === 0) return;
    setTimeout(() => {
      published = [...published, event].slice(-maxPublishedEvents);
    }, options.delayMs);
  }

  const cache = new QuickLru<string, true>({
    maxSize: Math.max(1, options.blocks),
    onEviction: (block) => publish('evicted', block),
  });

  /** Returns a hash for each whole block that covers all inputs up to its end. */
  function hashBlocks(inputs: readonly (string | number)[]): string[] {
    let hash = 0;
    return inputs.flatMap((input, i) => {
      hash = (Math.imul(hash ^ (typeof input === 'number' ? input + 1 : Number.parseInt(input, 16)), 0x01000193) >>> 0);
      return (i + 1) % blockTokens === 0 ? [hash.toString(16)] : [];
    });
  }

  return {
    match(inputs) {
      if (options.blocks === 0 || inputs.length < blockTokens) return 0;
      const blocks = hashBlocks(inputs);
      const firstMissing = blocks.findIndex((block) => !cache.get(block));
      const hits = firstMissing === -1 ? blocks.length : firstMissing;
      blocks.slice(hits).forEach((block) => {
        cache.set(block, true);
        publish('stored', block);
      });
      return hits * blockTokens;
    },
    events: (after) => published.filter(({ id }) => id > after),
  };
}
