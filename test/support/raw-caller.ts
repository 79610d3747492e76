/** A caller that reads the bytes of an answer, to tell how it was framed and how it ended. */
import { connect } from 'node:net';
import { wasReset } from '@verbenashunt/wire';

export interface RawAnswer {
  status: number;
  /** Body without its framing. */
  body: string;
  /** How the end of the body is marked: by chunks, by a length, or only by its connection. */
  framing: 'chunked' | 'length' | 'connection';
  /** Whether the end of the body arrived; for `connection`, whether it was closed in order. */
  isEnded: boolean;
}

const hexRadix = 16;

/** Joins the chunks of a body; `isEnded` tells whether the last one has arrived. */
function decodeChunks(text: string): { body: string; isEnded: boolean } {
  const lineEnd = text.indexOf('\r\n');
  const size = lineEnd === -1 ? NaN : parseInt(text.slice(0, lineEnd), hexRadix);
  const start = lineEnd + 2;
  if (size === 0) return { body: '', isEnded: text.startsWith('\r\n', start) };
  if (Number.isNaN(size) || text.length < start + size + 2) return { body: '', isEnded: false };
  const rest = decodeChunks(text.slice(start + size + 2));
  return { body: text.slice(start, start + size) + rest.body, isEnded: rest.isEnded };
}

function parseAnswer(text: string, isOrderly: boolean): RawAnswer {
  const headEnd = text.indexOf('\r\n\r\n');
  const head = text.slice(0, headEnd).toLowerCase();
  const rest = headEnd === -1 ? '' : text.slice(headEnd + 4);
  const status = Number(/^http\/1\.1 (\d+)/.exec(head)?.[1] ?? 0);
  const length = /\r\ncontent-length: (\d+)/.exec(head)?.[1];
  if (head.includes('\r\ntransfer-encoding: chunked')) {
    return { status, framing: 'chunked', ...decodeChunks(rest) };
  }
  if (length !== undefined) {
    return {
      status, framing: 'length', body: rest, isEnded: rest.length === Number(length),
    };
  }
  return {
    status, framing: 'connection', body: rest, isEnded: isOrderly && headEnd !== -1,
  };
}

export interface RawCall {
  path: string;
  headers: Record<string, string>;
  body: string;
  /** 1.1 by default. */
  httpVersion?: '1.0' | '1.1';
}

/** Sends one request on a connection of its own; resolves when the connection is closed. */
export function callRaw(
  port: number,
  {
    path, headers, body, httpVersion = '1.1',
  }: RawCall,
): Promise<RawAnswer> {
  const head = Object.entries({
    host: 'app.example', connection: 'close', 'content-length': String(body.length), ...headers,
  }).map(([name, value]) => `${name}: ${value}\r\n`).join('');
  return new Promise((resolve) => {
    let received = '';
    const socket = connect(port, '127.0.0.1');
    socket.setEncoding('latin1').on('data', (text) => {
      received += String(text);
    });
    let isOrderly = false;
    socket.on('end', () => {
      isOrderly = !wasReset(socket);
    });
    // `close` follows.
    socket.on('error', () => {});
    socket.on('close', () => resolve(parseAnswer(received, isOrderly)));
    socket.write(`POST ${path} HTTP/${httpVersion}\r\n${head}\r\n${body}`);
  });
}
