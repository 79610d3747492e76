/** Refuses requests that are malformed or come too late, and handles nothing sent after them. */
import type { IncomingMessage } from 'node:http';
import type { Socket } from 'node:net';
import type { RefusalCode } from '@verbenashunt/core';
import { refuseInput, type ConnectionState } from './connection-state.js';
import { afterArrivedBytes } from './next-read.js';

const timeoutErrorCode = 'ERR_HTTP_REQUEST_TIMEOUT';

/** Maps an error of Node's HTTP parser or its timeouts to a refusal code. */
function refusalCodeOf(err: NodeJS.ErrnoException): RefusalCode {
  if (err.code === 'HPE_HEADER_OVERFLOW') return 'headers_too_large';
  return err.code === timeoutErrorCode ? 'request_timeout' : 'bad_request';
}

/** The request whose body is being received; undefined if there is none. */
const incompleteRequest = ({ pending }: ConnectionState): IncomingMessage | undefined => (
  [...pending].map(({ req }) => req).find(({ complete }) => !complete));

/** Refuses what could not be parsed or is late. */
function refuse(err: NodeJS.ErrnoException, socket: Socket, state: ConnectionState) {
  if (err.code === 'ECONNRESET') socket.destroy();
  else refuseInput(refusalCodeOf(err), socket, state);
}

/**
 * Creates a handler of `clientError`. A request counts as late only if the rest of it has not
 * arrived by the time its connection was read; `bodyTimeoutMs` limits the time of its body then.
 */
export function createClientErrorHandler(
  stateOf: (socket: Socket) => ConnectionState,
  bodyTimeoutMs: number,
) {
  async function refuseIfLate(err: NodeJS.ErrnoException, socket: Socket) {
    const state = stateOf(socket);
    const requestsBefore = state.requests;
    const unfinished = incompleteRequest(state);
    await afterArrivedBytes(socket);
    const hasArrived = unfinished?.complete ?? state.requests > requestsBefore;
    const next = incompleteRequest(state);
    if (!hasArrived) refuse(err, socket, state);
    // Node reports each request as late once only.
    else if (next) {
      const timer = setTimeout(() => {
        if (!next.complete) refuseIfLate(err, socket);
      }, bodyTimeoutMs);
      next.once('close', () => clearTimeout(timer));
    }
  }

  return (err: NodeJS.ErrnoException, socket: Socket) => {
    if (err.code === timeoutErrorCode) refuseIfLate(err, socket);
    else refuse(err, socket, stateOf(socket));
  };
}
