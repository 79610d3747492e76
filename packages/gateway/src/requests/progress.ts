/**
 * What the streams of this entry tell of the targets that they were sent to: how long a stream
 * waits there for its first event, how long for each further one, and whether one was dropped. All
 * entries' streams share a target, so each sees the load of all without asking.
 */
import QuickLRU from 'quick-lru';

export interface StreamProgress {
  readonly hasBegun: boolean;
  /** Time between the last two events in milliseconds; undefined before the second. */
  readonly gapMs: number | undefined;
  /** An event came. */
  event(now: number): void;
  /** The attempt is over. */
  end(): void;
  /**
   * Whether the target can be taken to have dropped the stream, which waits for its first event. A
   * target that drops requests without a word begins others quickly meanwhile; one that is loaded
   * begins all of them late.
   */
  isDropped(now: number): boolean;
}

export interface TargetProgress {
  /** A stream is sent to a target. */
  start(target: string, now: number): StreamProgress;
  /** Whether a stream that is sent to a target now can be expected to be on time there. */
  isOnTime(target: string, now: number, bounds: StreamBounds): boolean;
  /** Time that streams wait for their first event at a target, in milliseconds; 0 if not known. */
  firstMs(target: string, now: number): number;
  /**
   * Time between events of most streams at a target once those that wait there have begun, in
   * milliseconds; 0 when not known.
   */
  pauseMs(target: string, now: number): number;
}

export interface StreamBounds {
  /** Time within which the first event is on time, in milliseconds. */
  objectiveMs: number;
  /** Longest pause between events that is on time, in milliseconds. */
  maxPauseMs: number;
}

interface Stream {
  sentAt: number;
  /** Time of the last event; undefined before the first. */
  heardAt: number | undefined;
  /** Time between the last two events; undefined before the second. */
  gapMs: number | undefined;
}

interface Begun {
  sentAt: number;
  tookMs: number;
}

/** Targets whose latest stream is kept; ids of targets that are gone drop out. */
const maxTargets = 4096;
/** Times the wait of one that was sent later after which a stream counts as dropped. */
const droppedFactor = 4;
/** Pause between events, as a share of the longest on time, at which a target takes no more. */
const fullPauseShare = 0.7;
/** Time for which the last first event says something, in milliseconds. */
const freshMs = 1000;
/** Streams from which on their pauses say something of a target. */
const minStreams = 3;

/** The middle one of some values, or the higher of two. */
export const middleOf = (values: readonly number[]) => [...values]
  .sort((a, b) => a - b)[Math.floor(values.length / 2)]!;

export function createTargetProgress(): TargetProgress {
  const streams = new Map<string, Set<Stream>>();
  /** The latest sent stream that has begun, by target. */
  const latest = new QuickLRU<string, Begun>({ maxSize: maxTargets });

  const streamsAt = (target: string) => [...streams.get(target) ?? []];

  function begun(target: string, sentAt: number, now: number) {
    const known = latest.get(target);
    if (!known || known.sentAt <= sentAt) latest.set(target, { sentAt, tookMs: now - sentAt });
  }

  function join(target: string, stream: Stream): () => void {
    const others = streams.get(target) ?? new Set();
    streams.set(target, others.add(stream));
    return () => {
      others.delete(stream);
      if (others.size === 0 && streams.get(target) === others) streams.delete(target);
    };
  }

  function firstMs(target: string, now: number): number {
    const known = latest.get(target);
    const since = known?.sentAt ?? -Infinity;
    // Those that were sent before the latest one that has begun may have been dropped.
    const waits = streamsAt(target)
      .filter(({ heardAt, sentAt }) => heardAt === undefined && sentAt > since)
      .map(({ sentAt }) => now - sentAt);
    const isFresh = known !== undefined && now - known.sentAt - known.tookMs < freshMs;
    return Math.max(0, isFresh ? known.tookMs : 0, ...waits);
  }

  function pauseMs(target: string, now: number): number {
    const all = streamsAt(target);
    const pauses = all.flatMap(({ gapMs, heardAt }) => (gapMs === undefined
      ? []
      : [Math.max(gapMs, now - heardAt!)]));
    if (pauses.length < minStreams) return 0;
    // Those that have not begun will share the target's time with the others.
    return middleOf(pauses) * (all.length / pauses.length);
  }

  return {
    start(target, now) {
      const stream: Stream = { sentAt: now, heardAt: undefined, gapMs: undefined };
      return {
        get hasBegun() {
          return stream.heardAt !== undefined;
        },
        get gapMs() {
          return stream.gapMs;
        },
        event(at) {
          if (stream.heardAt === undefined) begun(target, stream.sentAt, at);
          else stream.gapMs = at - stream.heardAt;
          stream.heardAt = at;
        },
        end: join(target, stream),
        isDropped(at) {
          const known = latest.get(target);
          return stream.heardAt === undefined && known !== undefined
            && known.sentAt > stream.sentAt
            && at - stream.sentAt > droppedFactor * known.tookMs;
        },
      };
    },
    firstMs,
    pauseMs,
    isOnTime: (target, now, bounds) => firstMs(target, now) <= bounds.objectiveMs
      && pauseMs(target, now) <= fullPauseShare * bounds.maxPauseMs,
  };
}
