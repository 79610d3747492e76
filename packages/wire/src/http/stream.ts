/** Writes a streamed answer to its caller, who may read slower than it is made. */
import type { OutgoingHttpHeaders, ServerResponse } from 'node:http';

export interface StreamWriter {
  write(text: string): void;
  end(text: string): void;
}

const radixHex = 16;

/** Writers with text that waits for the end of this turn of the loop. */
let dirty: (() => void)[] = [];

function flushAll() {
  const flushes = dirty;
  dirty = [];
  flushes.forEach((flush) => flush());
}

/** Calls back once all input of this turn was handled. */
function atEndOfTurn(flush: () => void) {
  if (dirty.length === 0) setImmediate(flushAll);
  dirty.push(flush);
}

export interface StreamHead {
  status: number;
  headers: OutgoingHttpHeaders;
  /** How the text that is written becomes bytes. */
  encoding: BufferEncoding;
}

/**
 * Sends the head and returns a writer of the body, which cuts the answer off once more than
 * `maxBacklogBytes` wait to be read. ServerResponse would write each chunk in four pieces; the
 * writer frames chunks itself unless an earlier answer still holds the connection.
 */
export function openStream(
  res: ServerResponse,
  { status, headers, encoding }: StreamHead,
  maxBacklogBytes: number,
  onSlowReader: () => void,
): StreamWriter {
  /** One chunk of a chunked body in one string, so that it leaves in one write. */
  const chunkOf = (text: string) => `${Buffer.byteLength(text, encoding).toString(radixHex)}\r\n${text}\r\n`;
  const { socket } = res;
  socket?.cork();
  res.writeHead(status, { ...headers, 'transfer-encoding': 'chunked' });
  res.flushHeaders();
  // The head leaves together with the first token.
  if (socket) process.nextTick(() => socket.uncork());
  const send = socket
    ? (text: string) => socket.write(chunkOf(text), encoding)
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
      if (pending === '') atEndOfTurn(flush);
      pending += text;
    },
    end(text) {
      pending += text;
      flush();
      if (!res.destroyed) res.end();
    },
  };
}
