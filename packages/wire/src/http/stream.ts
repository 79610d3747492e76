/** Writes streamed HTTP responses to clients that may read slower than the stream is produced. */
import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';
import { abortConnection } from './reset.js';

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

/** Makes a response end with its connection, without Content-Length or chunked encoding. */
export function endByClosing(res: ServerResponse): ServerResponse {
  res.shouldKeepAlive = false;
  res.useChunkedEncodingByDefault = false;
  return res;
}

/** Whether the client understands chunked encoding, which came with HTTP/1.1. */
export const acceptsChunks = ({ req }: ServerResponse) => req.httpVersion !== '1.0';

/** Closes the connection of a response that is not complete, so that it does not look complete. */
export function abortResponse(res: ServerResponse) {
  // An earlier response occupies the connection if there is no socket; nothing was sent then.
  if (res.socket) abortConnection(res.socket);
  res.destroy();
}

/**
 * Sends the response head and returns a writer for the body, which destroys the response once
 * more than `maxBacklogBytes` are unsent. The body is chunked if the client understands that: the
 * connection is closed in order also when this process is killed, and only the missing last chunk
 * shows then that the response was broken off. ServerResponse would write each chunk in four
 * pieces, so the writer encodes chunks itself, unless an earlier response still occupies the
 * connection.
 */
export function openStream(
  res: ServerResponse,
  { status, headers, encoding }: StreamHead,
  maxBacklogBytes: number,
  onSlowReader: () => void,
): StreamWriter {
  const isChunked = acceptsChunks(res);
  /** Encodes a chunk of a chunked body as one string, so that it takes a single write. */
  const encodeChunk = (text: string) => `${Buffer.byteLength(text, encoding).toString(hexRadix)}\r\n${text}\r\n`;
  const encode = isChunked ? encodeChunk : (text: string) => text;
  const { socket } = res;
  socket?.cork();
  if (isChunked) res.writeHead(status, { ...headers, 'transfer-encoding': 'chunked' });
  else endByClosing(res).writeHead(status, headers);
  res.flushHeaders();
  // Corked, so that the head is sent together with the first chunk.
  if (socket) process.nextTick(() => socket.uncork());
  const send = socket
    ? (text: string) => socket.write(encode(text), encoding)
    : (text: string) => res.write(text, encoding);

  let pending = '';

  function flush() {
    const text = pending;
    pending = '';
    if (text === '' || res.destroyed) return;
    send(text);
    if (res.writableLength <= maxBacklogBytes) return;
    onSlowReader();
    abortResponse(res);
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
