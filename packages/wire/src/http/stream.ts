/** Writes streamed HTTP responses to clients that may read slower than the stream is produced. */
import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';

export interface StreamWriter {
  write(text: string): void;
  end(text: string): void;
}

const hexRadix = 16;

/** Flushes of the writers that got text in this event loop iteration. */
let pendingFlushes: (() => void)[] = [];

function flushAll() {
  const flushes = pendingFlushes;
  pendingFlushes = [];
  flushes.forEach((flush) => flush());
}

/** Calls `flush` once all input of this event loop iteration was handled. */
function scheduleFlush(flush: () => void) {
  if (pendingFlushes.length === 0) setImmediate(flushAll);
  pendingFlushes.push(flush);
}

export interface StreamHead {
  status: number;
  headers: OutgoingHttpHeaders;
  /** Encoding of the text passed to the writer. */
  encoding: BufferEncoding;
}

/**
 * Sends the response head and returns a writer for the body, which destroys the response once
 * more than `maxBacklogBytes` are unsent. ServerResponse would write each chunk in four pieces, so
 * the writer encodes chunks itself, unless an earlier response still occupies the connection.
 */
export function openStream(
  res: ServerResponse,
  { status, headers, encoding }: StreamHead,
  maxBacklogBytes: number,
  onSlowReader: () => void,
): StreamWriter {
  /** Encodes a chunk of a chunked body as one string, so that it takes a single write. */
  const encodeChunk = (text: string) => `${Buffer.byteLength(text, encoding).toString(hexRadix)}\r\n${text}\r\n`;
  const { socket } = res;
  socket?.cork();
  res.writeHead(status, { ...headers, 'transfer-encoding': 'chunked' });
  res.flushHeaders();
  // Corked, so that the head is sent together with the first chunk.
  if (socket) process.nextTick(() => socket.uncork());
  const send = socket
    ? (text: string) => socket.write(encodeChunk(text), encoding)
    : (text: string) => res.write(text, encoding);

  let pending = '';

  function flush() {
    const text = pending;
    pending = '';
    if (text === '' || res.destroyed) return;
    send(text);
    if (res.writableLength <= maxBacklogBytes) return;
    onSlowReader();
    res.destroy();
  }

  return {
    write(text) {
      if (pending === '') scheduleFlush(flush);
      pending += text;
    },
    end(text) {
      pending += text;
      flush();
      if (!res.destroyed) res.end();
    },
  };
}
