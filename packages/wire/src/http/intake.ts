/** Accounts for what arrives on a connection, besides the bodies of requests. */
import type { Socket } from 'node:net';
import type { RefusalCode } from '@verbenashunt/core';
import { refuseInput, type ConnectionState } from './client-errors.js';
import type { HeadAccount, RequestAccount, RequestMemory } from './request-memory.js';

/** Starts to watch a connection, whose input then passes through JavaScript to the parser. */
export function watchIntake(
  socket: Socket,
  state: ConnectionState,
  memory: RequestMemory,
) {
  const refuse = (code: RefusalCode) => refuseInput(code, socket, state);
  let head: HeadAccount | undefined;
  /** Bytes since the last request that are not part of one whose headers are complete. */
  let headBytes = 0;
  let requestsBefore = 0;
  let wasReceivingBody = false;

  function endHead() {
    headBytes = 0;
    head?.close();
    head = undefined;
  }

  /** Counts the bytes of an incomplete head, and empty lines before one. */
  function receiveHead(bytes: number) {
    headBytes += bytes;
    head ??= memory.openHead(() => refuse('overloaded'));
    head.hold(headBytes);
  }

  /** Counts the bytes of a body's framing and of trailers. */
  function receiveBody(bytes: number, account: RequestAccount) {
    account.endRead(bytes);
  }

  // Added after the parser's own listener, so that it sees what the parser made of the bytes.
  socket.on('data', ({ length }: Buffer) => {
    const isReceivingBody = state.last !== undefined && !state.last.complete;
    const hasEndedRequest = wasReceivingBody || state.requests !== requestsBefore;
    requestsBefore = state.requests;
    wasReceivingBody = isReceivingBody;
    if (isReceivingBody || hasEndedRequest) endHead();
    else receiveHead(length);
    const account = isReceivingBody && memory.of(state.last!);
    if (account) receiveBody(length, account);
  });
  socket.once('close', endHead);
}
