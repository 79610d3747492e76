/** Accounts for the memory of requests, from the first bytes of their heads until their answers. */
import type { IncomingMessage } from 'node:http';
import { createRefusal, type Refusal } from '@verbenashunt/core';
import { createMemoryBudget, type MemoryBudget } from './memory-budget.js';

/**
 * Memory in bytes that a byte of an incomplete head takes at most: the parser keeps each name and
 * each value as a string of its own, of 24 bytes or more, even if it has two characters.
 */
const partialHeadFactor = 16;
/** Memory in bytes of a request without its headers: its objects and those of its response. */
const requestBytes = 2048;
/** Memory in bytes of a header line besides its text: strings, entries of arrays and objects. */
const headerLineBytes = 200;
/** Copies of the text of a head: as it arrived, and as it is forwarded. */
const headCopies = 2;

/** Bytes of a header line besides its name and value. */
const lineFramingBytes = ': \r\n'.length;
/** Bytes of a chunk besides its content, without extensions; a longer size has few more. */
const chunkFramingBytes = '1000\r\n\r\n'.length;

type RequestHead = Pick<IncomingMessage, 'url' | 'rawHeaders'>;

/** Size of the texts in a head in bytes. */
const textBytesOf = ({ url = '', rawHeaders }: RequestHead) => rawHeaders
  .reduce((sum, text) => sum + text.length, url.length);

const lineCountOf = ({ rawHeaders }: RequestHead) => rawHeaders.length / 2;

/** Memory in bytes of a request with this head. */
const headMemoryOf = (req: RequestHead): number => requestBytes
  + lineCountOf(req) * headerLineBytes + textBytesOf(req) * headCopies;

/** Memory of a request whose headers have arrived. */
export interface RequestAccount {
  /** Called with each part of the body: its size, and the memory of all parts in bytes. */
  receivePart(bytes: number, heldBytes: number): void;
  /**
   * Called after each read from the connection of a request that is not complete, with its size in
   * bytes. Returns the bytes that have arrived since the last part of the body.
   */
  endRead(bytes: number): number;
  /** Calls back when the request has to give way; replaces the previous callback. */
  onGiveWay(giveWay: () => void): void;
  /** Whether the request had to give way. */
  readonly hasGivenWay: boolean;
  /** Called when the request has arrived completely. */
  complete(): void;
  /** Called when it can no longer be refused, as work on it has begun: it does not give way. */
  keep(): void;
  close(): void;
}

/** Refusal of a request that had to give way to others. */
export const createMemoryRefusal = (): Refusal => createRefusal('overloaded', {
  detail: 'too many requests are being received',
});

/** Account of a head that is being received. */
export interface HeadAccount {
  /** Sets the number of bytes received. */
  hold(receivedBytes: number): void;
  close(): void;
}

export interface RequestMemory {
  /** Opens the account of a head; `giveWay` is called at most once and has to refuse it. */
  openHead(giveWay: () => void): HeadAccount;
  /** Opens the account of a request whose headers have arrived. */
  openRequest(req: IncomingMessage): RequestAccount;
  /** The account of a request; undefined if none was opened. */
  of(req: IncomingMessage): RequestAccount | undefined;
}

export interface RequestMemoryOptions {
  /** Limit on the memory in bytes of all requests. */
  maxBufferedBytes: number;
}

function openRequestAccount(budget: MemoryBudget, req: IncomingMessage): RequestAccount {
  const headBytes = headMemoryOf(req);
  const isChunked = 'transfer-encoding' in req.headers;
  /** Bytes of the current read that are accounted for: the head in the first one, and the body. */
  let knownBytes = textBytesOf(req) + lineCountOf(req) * lineFramingBytes;
  let hasPart = true;
  let bodyBytes = 0;
  /** Bytes that may be trailers, which the parser keeps like headers. */
  let trailerBytes = 0;
  let bytesSincePart = 0;
  let hasGivenWay = false;
  let giveWay = () => {};
  const account = budget.open(() => {
    hasGivenWay = true;
    giveWay();
  });
  const hold = () => account.hold(headBytes + bodyBytes + trailerBytes * partialHeadFactor);
  hold();

  return {
    receivePart(bytes, heldBytes) {
      hasPart = true;
      knownBytes += bytes + chunkFramingBytes;
      bodyBytes = heldBytes;
      hold();
    },
    endRead(bytes) {
      if (!isChunked) return 0;
      const otherBytes = Math.max(0, bytes - knownBytes);
      trailerBytes = hasPart ? otherBytes : trailerBytes + otherBytes;
      bytesSincePart = hasPart ? 0 : bytesSincePart + bytes;
      knownBytes = 0;
      hasPart = false;
      hold();
      return bytesSincePart;
    },
    onGiveWay(callback) {
      giveWay = callback;
    },
    get hasGivenWay() {
      return hasGivenWay;
    },
    complete() {
      trailerBytes = 0;
      hold();
    },
    keep: account.keep,
    close: account.close,
  };
}

/** Creates accounts with a common limit. */
export function createRequestMemory({ maxBufferedBytes }: RequestMemoryOptions): RequestMemory {
  const budget = createMemoryBudget({ limitBytes: maxBufferedBytes });
  const accounts = new WeakMap<IncomingMessage, RequestAccount>();

  return {
    openHead(giveWay) {
      const account = budget.open(giveWay);
      return {
        hold: (receivedBytes) => account.hold(receivedBytes * partialHeadFactor),
        close: account.close,
      };
    },
    openRequest(req) {
      const account = openRequestAccount(budget, req);
      accounts.set(req, account);
      return account;
    },
    of: (req) => accounts.get(req),
  };
}
