/**
 * Splits the body of an event stream (`text/event-stream`) into complete events, so that a
 * truncated event is never passed on, and checks the sequence of event ids when a stream is resumed
 * on another target.
 */

/** One complete event. */
export interface StreamEvent {
  /** Unchanged bytes of the event, with the blank line that ends it. */
  bytes: Buffer;
  /** Undefined when the event has no numeric `id` field. */
  id: number | undefined;
}

const lineFeed = 0x0a;
const carriageReturn = 0x0d;
const idField = /^id:[ ]?(\d+)\r?$/m;

/** Index after the blank line that ends the first event; -1 when the event is incomplete. */
function endOfEvent(bytes: Buffer, from: number): number {
  let lineEnd = bytes.indexOf(lineFeed, from);
  while (lineEnd !== -1) {
    const next = bytes[lineEnd + 1] === carriageReturn ? lineEnd + 2 : lineEnd + 1;
    if (bytes[next] === lineFeed) return next + 1;
    lineEnd = bytes.indexOf(lineFeed, lineEnd + 1);
  }
  return -1;
}

function toEvent(bytes: Buffer): StreamEvent {
  const id = idField.exec(bytes.toString('latin1'))?.[1];
  return { bytes, id: id === undefined ? undefined : Number(id) };
}

/** Lines of an event stream: fields by name, comments, and the blank line at the end. */
const eventLine = /^(?:(?:id|data|event|retry)(?::.*)?|:.*)?\r?$/;
const commentLine = /^(?::.*)?\r?$/;

const linesOf = ({ bytes }: StreamEvent) => bytes.toString('latin1').split('\n');

/** Whether the bytes are an event or a comment, unlike the head or the text of an error. */
export const isEventText = (event: StreamEvent) => linesOf(event)
  .every((line) => eventLine.test(line));

/** Whether the event holds nothing but comments, which targets may send at any time. */
export const isComment = (event: StreamEvent) => linesOf(event)
  .every((line) => commentLine.test(line));

export interface EventSplitter {
  /** Adds received bytes; returns the events that they complete. */
  push(chunk: Buffer): StreamEvent[];
  /** Number of buffered bytes of an incomplete event. */
  readonly pendingBytes: number;
}

/** Bytes before the last one of a blank line that may have arrived earlier: LF and CR. */
const maxOverlap = 2;
/** Smallest size in bytes of the buffer for an incomplete event. */
const minCapacity = 256;

export function createEventSplitter(): EventSplitter {
  /** Starts with `size` bytes of an incomplete event. */
  let buffer: Buffer = Buffer.alloc(0);
  let size = 0;

  /** Copies the bytes; the capacity doubles, so that single bytes cost no copy of all others. */
  function append(bytes: Buffer) {
    const newSize = size + bytes.length;
    if (newSize > buffer.length) {
      const larger = Buffer.allocUnsafe(Math.max(minCapacity, 2 * newSize));
      buffer.copy(larger, 0, 0, size);
      buffer = larger;
    }
    bytes.copy(buffer, size);
    size = newSize;
  }

  /** Keeps the bytes of an incomplete event, in a buffer that no event refers to. */
  function restart(rest: Buffer) {
    buffer = Buffer.alloc(0);
    size = 0;
    if (rest.length > 0) append(rest);
  }

  return {
    push(chunk) {
      const isContinued = size > 0;
      const from = Math.max(0, size - maxOverlap);
      if (isContinued) append(chunk);
      const bytes = isContinued ? buffer.subarray(0, size) : chunk;
      const events: StreamEvent[] = [];
      let start = 0;
      for (let end = endOfEvent(bytes, from); end !== -1; end = endOfEvent(bytes, start)) {
        events.push(toEvent(bytes.subarray(start, end)));
        start = end;
      }
      if (!isContinued || start > 0) restart(bytes.subarray(start));
      return events;
    },
    get pendingBytes() {
      return size;
    },
  };
}

/**
 * What to do with the next event of an answer that may come from several targets.
 * - `deliver`: send it to the caller.
 * - `repeated`: the caller already has it.
 * - `gap`: an event before it is missing.
 */
export type EventVerdict = 'deliver' | 'repeated' | 'gap';

/**
 * Checks that the event ids of an answer are consecutive. `lastId` is the last event that the
 * caller already has; without it, the first event may have any id. Events without an id are
 * delivered.
 */
export function createEventOrder(lastId: number | undefined) {
  let last = lastId;
  return {
    /** Id of the last event delivered. */
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
