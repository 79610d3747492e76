/** Small stand-ins of a server of a plain service and of a consumer, on raw sockets. */
import { connect, createServer } from 'node:net';

/** Splits a text into its head and the rest; undefined while the head is not complete. */
function splitHead(text) {
  const end = text.indexOf('\r\n\r\n');
  if (end === -1) return undefined;
  const [first, ...lines] = text.slice(0, end).split('\r\n');
  const headers = Object.fromEntries(lines.map((line) => {
    const colon = line.indexOf(':');
    return [line.slice(0, colon).toLowerCase(), line.slice(colon + 1).trim()];
  }));
  return { first, headers, rest: text.slice(end + 4) };
}

/** Decodes a chunked body; undefined while it is not complete. */
function readChunks(text, done = '') {
  const end = text.indexOf('\r\n');
  if (end === -1) return undefined;
  const size = parseInt(text.slice(0, end), 16);
  if (text.length < end + 2 + size + 2) return undefined;
  if (size === 0) return { body: done, rest: text.slice(end + 4) };
  const start = end + 2;
  return readChunks(text.slice(start + size + 2), done + text.slice(start, start + size));
}

/** Reads a message with a length or in chunks from a text; undefined while it is not complete. */
export function readMessage(text) {
  const head = splitHead(text);
  if (!head) return undefined;
  if ((head.headers['transfer-encoding'] ?? '').toLowerCase() === 'chunked') {
    const chunks = readChunks(head.rest);
    return chunks && { ...head, ...chunks };
  }
  const length = Number(head.headers['content-length'] ?? 0);
  if (head.rest.length < length) return undefined;
  return { ...head, body: head.rest.slice(0, length), rest: head.rest.slice(length) };
}

/**
 * Starts a server of a plain service. It runs each request that names it, and calls `respond` with
 * the request, the socket and a function that sends a whole answer.
 */
export async function startServer({
  id, service, record, respond,
}) {
  const sockets = new Set();
  const ran = [];
  const server = createServer((socket) => {
    let text = '';
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
    socket.on('error', () => {});
    const next = () => {
      const message = readMessage(text);
      if (!message) return;
      text = message.rest;
      const { headers, first } = message;
      const requestId = headers['request-id'];
      const answer = (status, body, extra = {}) => {
        const fields = {
          'request-id': requestId, 'content-length': Buffer.byteLength(body), ...extra,
        };
        const lines = Object.entries(fields).filter(([, value]) => value !== undefined)
          .map(([name, value]) => `${name}: ${value}`);
        socket.write(`HTTP/1.1 ${status} Status\r\n${lines.join('\r\n')}\r\n\r\n${body}`);
      };
      if (headers['target-instance'] !== undefined && headers['target-instance'] !== id) {
        answer(421, '', { 'not-executed': '1' });
      } else {
        ran.push({ requestId, at: performance.now(), ...message });
        record.add(`${id} runs ${requestId}: ${first}`);
        respond({ ...message, requestId }, socket, answer);
      }
      next();
    };
    socket.on('data', (chunk) => {
      text += chunk.toString('latin1');
      next();
    });
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const address = `127.0.0.1:${server.address().port}`;
  return {
    id,
    address,
    ran,
    row: (overrides = {}) => ({
      service,
      address,
      zone: 'zone-a',
      version: 'v1',
      slots: 8,
      state: 'ready',
      sequence: 1,
      coldRemainingMs: 0,
      born: 1,
      ...overrides,
    }),
    close: () => new Promise((resolve) => {
      server.close(resolve);
      sockets.forEach((socket) => socket.destroy());
    }),
  };
}

/**
 * Whether a connection whose end is being reported was reset: Node.js reports a reset that arrives
 * together with data as an orderly end, but the connection has no peer any more. The first use of
 * `remoteAddress` must be this one, as its value is kept.
 */
export const wasReset = (socket) => socket.remoteAddress === undefined;

/** Opens a connection of a consumer; `received` holds all bytes that came on it. */
export function openConnection(port, host = '127.0.0.1') {
  const connection = { received: '', isClosed: false, isReset: false };
  const socket = connect({ host, port, noDelay: true });
  socket.on('data', (chunk) => {
    connection.received += chunk.toString('latin1');
  });
  socket.on('error', (err) => {
    connection.isReset ||= err.code === 'ECONNRESET';
  });
  socket.on('end', () => {
    connection.isReset ||= wasReset(socket);
  });
  const closed = new Promise((resolve) => {
    socket.on('close', () => {
      connection.isClosed = true;
      resolve();
    });
  });
  return Object.assign(connection, {
    socket,
    connected: new Promise((resolve) => {
      socket.once('connect', resolve);
    }),
    closed,
    write: (text) => socket.write(text, 'latin1'),
    /** Status of the first answer; undefined before it. */
    status: () => {
      const found = /^HTTP\/1\.1 (\d{3})/.exec(connection.received)?.[1];
      return found && Number(found);
    },
    message: () => readMessage(connection.received),
  });
}

/** Formats a consumer's request. */
export function requestText({
  method = 'POST', path, id, body = '', headers = {}, deadlineMs = 1500, key = 'key-1',
}) {
  const fields = {
    Host: 'app.example',
    'Request-Id': id,
    'Request-Deadline-Ms': deadlineMs,
    Authorization: `Bearer ${key}`,
    ...(method === 'GET' ? {} : { 'Content-Length': Buffer.byteLength(body) }),
    ...headers,
  };
  const lines = Object.entries(fields).map(([name, value]) => `${name}: ${value}`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join('\r\n')}\r\n\r\n${body}`;
}
