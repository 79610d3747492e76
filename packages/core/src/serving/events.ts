/**
 * Splits the body of an event stream into whole events, so that an event that broke off in the
 * middle is never passed on, and follows the ids by which a stream is resumed.
 */

/** One whole event with the blank line that ends it. */
export interface StreamEvent {
  bytes: Buffer;
  /** Undefined for one without an id. */
  id: number | undefined;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = /^id:[ ]?(\d+)\r?$/m;

/** Index after the blank line that ends the first event; -1 when the event isn't whole. */
function endOfEvent(bytes: Buffer, from: number): number {
  let at = bytes.indexOf(lineFeed, from);
  while (at !== -1) {
    const next = bytes[at + 1] === carriageReturn ? at + 2 : at + 1;
    if (bytes[next] === lineFeed) return next + 1;
    at = bytes.indexOf(lineFeed, at + 1);
  }
  return -1;
}

function toEvent(bytes: Buffer): StreamEvent {
  const id = idField.exec(bytes.toString('latin1'))?.[1];
  return { bytes, id: id === undefined ? undefined : Number(id) };
}

export interface EventSplitter {
  /** Takes bytes as they arrive; returns the events that are whole now. */
  push(chunk: Buffer): StreamEvent[];
  /** Bytes of an event that isn't whole. */
  readonly pendingBytes: number;
}

export function createEventSplitter(): EventSplitter {
  let rest: Buffer = Buffer.alloc(0);
  return {
    push(chunk) {
      rest = rest.length === 0 ? chunk : Buffer.concat([rest, chunk]);
      const events: StreamEvent[] = [];
      let start = 0;
      for (let end = endOfEvent(rest, 0); end !== -1; end = endOfEvent(rest, start)) {
        events.push(toEvent(rest.subarray(start, end)));
        start = end;
      }
      rest = rest.subarray(start);
      return events;
    },
    get pendingBytes() {
      return rest.length;
    },
  };
}

/** Verdict on the next event of an answer that may come from several targets. */
export type EventVerdict = 'deliver' | 'repeated' | 'gap';

/**
 * Follows the ids of an answer: an event that the caller has is repeated, one whose id leaves out
 * another is a gap. The first id follows the one that the caller named, if it named one.
 */
export function createEventOrder(lastId: number | undefined) {
  let last = lastId;
  return {
    /** Id of the newest event delivered. */
    get last() {
      return last;
    },
    accept({ id }: StreamEvent): EventVerdict {
      if (id === undefined) return 'deliver';
      if (last !== undefined && id <= last) return 'repeated';
      if (last !== undefined && id > last + 1) return 'gap';
      last = id;
      return 'deliver';
    },
  };
}
export type EventOrder = ReturnType<typeof createEventOrder>;
