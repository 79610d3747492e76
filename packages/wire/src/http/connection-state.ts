/** State of a connection, and the refusal of what arrives on it. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { createRefusal, refusalBody, type RefusalCode } from '@verbenashunt/core';

/** What has arrived on a connection. */
export interface ConnectionState {
  /** Number of requests whose headers have arrived. */
  requests: number;
  /** Responses that are not completely sent. */
  readonly pending: Set<ServerResponse>;
  /** Request whose headers have arrived last; undefined once it was answered. */
  last: IncomingMessage | undefined;
  /** Whether part of a head has arrived, or of an empty line before one. */
  hasPartialHead(): boolean;
  /** When it was opened, or last had the head of a request or the end of an answer; in ms. */
  lastProgressAt: number;
}

/** State of a connection on which nothing has arrived. */
export const createConnectionState = (): ConnectionState => ({
  requests: 0,
  pending: new Set(),
  last: undefined,
  hasPartialHead: () => false,
  lastProgressAt: performance.now(),
});

const statusText = 'Refused';
const millisecondsPerSecond = 1000;
/**
 * Time in milliseconds for which a connection stays open after a refusal. Closed while its client
 * is still sending, it would be reset, and the refusal lost.
 */
const lingerMs = 1000;

/** Whether bytes on a connection can still be taken for the answer to this request. */
const isAwaited = (res: ServerResponse) => res.req.complete || res.headersSent;

/** Whether a request that has arrived on a connection waits for its answer. */
export const isAnswerDue = ({ pending }: ConnectionState) => [...pending].some(isAwaited);

/** Drops all further input of a connection, of which the HTTP parser then sees nothing. */
function discardInput(socket: Socket) {
  socket.removeAllListeners('data');
  // The parser's listener is gone with the others; what still arrives is dropped.
  socket.on('data', () => {}).resume();
}

function sendRefusal(code: RefusalCode, socket: Socket) {
  const refusal = createRefusal(code);
  const { status, retryAfterMs } = refusal;
  const body = JSON.stringify(refusalBody(refusal));
  const retryAfter = retryAfterMs === undefined
    ? []
    : [`retry-after: ${Math.ceil(retryAfterMs / millisecondsPerSecond)}`];
  socket.end([
    `HTTP/1.1 ${status} ${statusText}`, 'content-type: application/json', 'connection: close',
    ...retryAfter, `content-length: ${Buffer.byteLength(body)}`, '', body,
  ].join('\r\n'));
  const closing = setTimeout(() => socket.destroy(), lingerMs);
  socket.once('close', () => clearTimeout(closing));
}

/**
 * Closes a connection once the requests that arrived on it are answered. What came after them gets
 * no response, as its client would take it for one of those answers.
 */
function closeAfterAnswers(socket: Socket, { pending }: ConnectionState) {
  discardInput(socket);
  const last = [...pending].at(-1)!;
  last.shouldKeepAlive = false;
  // If its headers have been sent, only this closes the connection.
  last.once('close', () => socket.destroySoon());
}

/**
 * Refuses what a connection is receiving; while an earlier request on it waits for its answer, this
 * only ends the connection after it. Nothing that is sent after a refusal is parsed, as "not run"
 * must stay true.
 */
export function refuseInput(code: RefusalCode, socket: Socket, state: ConnectionState) {
  const isDue = isAnswerDue(state);
  const hasLeft = !socket.writable || (isDue && socket.readableEnded);
  if (hasLeft) socket.destroy();
  else if (isDue) closeAfterAnswers(socket, state);
  else {
    discardInput(socket);
    sendRefusal(code, socket);
  }
}
