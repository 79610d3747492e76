/**
 * Estimates, from this entry's streams, how long a stream waits at a target for its first event and
 * for each further one, and whether the target dropped a stream. As the streams of all entries
 * share a target, each entry observes the total load without exchanging messages.
 */
import QuickLRU from 'quick-lru';

export interface StreamProgress {
  /** Whether the first event has arrived. */
  readonly hasStarted: boolean;
  /** Time between the last two events in milliseconds; undefined before the second. */
  readonly gapMs: number | undefined;
  /** Records an event. */
  event(now: number): void;
  /** Records the end of the attempt. */
  end(): void;
  /**
   * Whether the target has presumably dropped the stream, which is still without its first event. A
   * target that drops requests silently starts later ones quickly; an overloaded target starts all
   * of them late.
   */
  isDropped(now: number): boolean;
}

export interface TargetProgress {
  /** Records that a stream is sent to a target. */
  start(target: string, now: number): StreamProgress;
  /** Whether a stream that is sent to the target now is expected to stay within the bounds. */
  isOnTime(target: string, now: number, bounds: StreamBounds): boolean;
  /** Estimated wait for the first event at a target, in milliseconds; 0 when unknown. */
  firstEventMs(target: string, now: number): number;
  /**
   * Estimated pause between events at a target once its waiting streams have started too, in
   * milliseconds; 0 when unknown.
   */
  pauseMs(target: string, now: number): number;
}

export interface StreamBounds {
  /** Latency objective of the first event, in milliseconds. */
  objectiveMs: number;
  /** Longest acceptable pause between events, in milliseconds. */
  maxPauseMs: number;
}

interface Stream {
  sentAt: number;
  /** Time of the last event; undefined before the first. */
  lastEventAt: number | undefined;
  /** Time between the last two events; undefined before the second. */
  gapMs: number | undefined;
}

interface StartedStream {
  sentAt: number;
  /** Time from sending to the first event. */
  firstEventMs: number;
}

/** Targets whose latest started stream is kept; the LRU cache evicts ids of removed targets. */
const maxTargets = 4096;
/** A stream counts as dropped after this multiple of the wait of one that was sent later. */
const droppedFactor = 4;
/** Share of the longest acceptable pause above which a target gets no further streams. */
const maxPauseShare = 0.7;
/** Time in milliseconds for which the latest first event of a target serves as an estimate. */
const maxStartAgeMs = 1000;
/** Fewest streams whose pauses give an estimate for a target. */
const minStreams = 3;

/** Median; the higher of the two middle values if their number is even. */
export const upperMedian = (values: readonly number[]) => [...values]
  .sort((a, b) => a - b)[Math.floor(values.length / 2)]!;

export function createTargetProgress(): TargetProgress {
  const streams = new Map<string, Set<Stream>>();
  /** Of the streams that have started, the one that was sent last, by target. */
  const latest = new QuickLRU<string, StartedStream>({ maxSize: maxTargets });

  const streamsAt = (target: string) => [...streams.get(target) ?? []];

  function recordStart(target: string, sentAt: number, at: number) {
    const known = latest.get(target);
    if (!known || known.sentAt <= sentAt) latest.set(target, { sentAt, firstEventMs: at - sentAt });
  }

  function track(target: string, stream: Stream): () => void {
    const tracked = streams.get(target) ?? new Set();
    streams.set(target, tracked.add(stream));
    return () => {
      tracked.delete(stream);
      if (tracked.size === 0 && streams.get(target) === tracked) streams.delete(target);
    };
  }

  function firstEventMs(target: string, now: number): number {
    const known = latest.get(target);
    const latestSentAt = known?.sentAt ?? -Infinity;
    // Streams that were sent before the latest started one may have been dropped.
    const waits = streamsAt(target)
      .filter(({ lastEventAt, sentAt }) => lastEventAt === undefined && sentAt > latestSentAt)
      .map(({ sentAt }) => now - sentAt);
    const isRecent = known !== undefined && now - known.sentAt - known.firstEventMs < maxStartAgeMs;
    return Math.max(0, isRecent ? known.firstEventMs : 0, ...waits);
  }

  function pauseMs(target: string, now: number): number {
    const all = streamsAt(target);
    const pauses = all.flatMap(({ gapMs, lastEventAt }) => (gapMs === undefined
      ? []
      : [Math.max(gapMs, now - lastEventAt!)]));
    if (pauses.length < minStreams) return 0;
    // Streams that have not started yet will share the target's time with the others.
    return upperMedian(pauses) * (all.length / pauses.length);
  }

  return {
    start(target, now) {
      const stream: Stream = { sentAt: now, lastEventAt: undefined, gapMs: undefined };
      return {
        get hasStarted() {
          return stream.lastEventAt !== undefined;
        },
        get gapMs() {
          return stream.gapMs;
        },
        event(at) {
          if (stream.lastEventAt === undefined) recordStart(target, stream.sentAt, at);
          else stream.gapMs = at - stream.lastEventAt;
          stream.lastEventAt = at;
        },
        end: track(target, stream),
        isDropped(at) {
          const known = latest.get(target);
          return stream.lastEventAt === undefined && known !== undefined
            && known.sentAt > stream.sentAt
            && at - stream.sentAt > droppedFactor * known.firstEventMs;
        },
      };
    },
    firstEventMs,
    pauseMs,
    isOnTime: (target, now, bounds) => firstEventMs(target, now) <= bounds.objectiveMs
      && pauseMs(target, now) <= maxPauseShare * bounds.maxPauseMs,
  };
}
