/**
 * What the first events of streams at a target tell of one there that still waits for its own. A
 * target that drops requests without a word begins others quickly meanwhile; one that is loaded
 * begins all of them late.
 */
export interface FirstEvents {
  /** The first event came of a stream that was sent to a target at `sentAt`. */
  begun(target: string, sentAt: number, now: number): void;
  /** Whether the target can be taken to have dropped a stream that was sent at `sentAt`. */
  isDropped(target: string, sentAt: number, now: number): boolean;
}

interface Begun {
  sentAt: number;
  tookMs: number;
}

/** Times the wait of one that was sent later after which a stream counts as dropped. */
const droppedFactor = 4;

export function createFirstEvents(): FirstEvents {
  /** The latest sent stream that has begun, by target. */
  const latest = new Map<string, Begun>();
  return {
    begun(target, sentAt, now) {
      const known = latest.get(target);
      if (known && known.sentAt > sentAt) return;
      latest.set(target, { sentAt, tookMs: now - sentAt });
    },
    isDropped(target, sentAt, now) {
      const known = latest.get(target);
      return known !== undefined && known.sentAt > sentAt
        && now - sentAt > droppedFactor * known.tookMs;
    },
  };
}
