/**
 * Watches what arrives on a connection, besides the bodies of requests: it is accounted for, and
 * refused if it is over the limit for headers or never becomes a request.
 */
import type { Socket } from 'node:net';
import type { RefusalCode } from '@verbenashunt/core';
import { refuseInput, type ConnectionState } from './connection-state.js';
import { afterNextRead } from './next-read.js';
import type { HeadAccount, RequestAccount, RequestMemory } from './request-memory.js';

export interface IntakeOptions {
  memory: RequestMemory;
  /** Maximum size in bytes of the request line and headers. */
  maxHeaderBytes(): number;
  /** Time in milliseconds from the first byte of a head in which it has to be complete. */
  headerTimeoutMs(): number;
}

/**
 * Starts to watch a connection, whose input then passes through JavaScript to the parser. Returns a
 * function that tells whether part of a head has arrived, or of an empty line before one.
 */
export function watchIntake(
  socket: Socket,
  state: ConnectionState,
  { memory, maxHeaderBytes, headerTimeoutMs }: IntakeOptions,
) {
  let isRefused = false;
  let head: HeadAccount | undefined;
  /** Bytes since the last request that are not part of one whose headers are complete. */
  let headBytes = 0;
  /** When the first of them arrived, in milliseconds. */
  let headSince = 0;
  let requestsBefore = 0;
  let wasReceivingBody = false;

  function refuse(code: RefusalCode) {
    if (!isRefused) refuseInput(code, socket, state);
    isRefused = true;
  }

  function endHead() {
    headBytes = 0;
    head?.close();
    head = undefined;
  }

  /**
   * Refuses a head that is late. The parser knows none before its first line, and on a kept
   * connection the empty lines before it would count as activity for ever.
   */
  async function refuseIfLate() {
    const { requests } = state;
    // The rest may have arrived during a standstill of the process.
    await afterNextRead();
    if (headBytes > 0 && state.requests === requests) refuse('request_timeout');
  }

  /** Counts the bytes of an incomplete head, and empty lines before one. */
  function receiveHead(bytes: number) {
    if (headBytes === 0) headSince = performance.now();
    // What one read brings may end with the beginning of a head, and is limited by its size.
    const isOverLimit = headBytes > maxHeaderBytes();
    headBytes += bytes;
    head ??= memory.openHead(() => refuse('overloaded'));
    if (isOverLimit) refuse('headers_too_large');
    else head.hold(headBytes);
    if (performance.now() - headSince > headerTimeoutMs()) refuseIfLate();
  }

  /** Counts the bytes of a body's framing and of trailers. */
  function receiveBody(bytes: number, account: RequestAccount) {
    if (account.endRead(bytes) > maxHeaderBytes()) refuse('headers_too_large');
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
  return () => headBytes > 0;
}
