/** When an agent treats an entry as lost and drops its requests, with a manual clock. */
import { expect, test } from 'vitest';
import { createEntryPeers } from '@verbenashunt/agent';
import { ManualClock } from '@verbenashunt/core';
import type { Message } from '@verbenashunt/schema';
import type { Connection } from '@verbenashunt/wire';
import { helloOf } from '../support/peers.js';

function start() {
  const clock = new ManualClock();
  const lost: string[] = [];
  const peers = createEntryPeers({
    clock, onLost: (entry) => lost.push(entry), onProtocolError: () => {},
  });
  function connect(fields: { incarnation?: number; session?: number } = {}) {
    const sent: Message[] = [];
    let closed = false;
    const connection: Connection = {
      peer: helloOf({ role: 'entry', node: 'entry-1', ...fields }),
      open: true,
      lastReceivedAt: 0,
      lastUsedAt: 0,
      send: (message) => sent.push(message),
      close() {
        if (closed) return;
        closed = true;
        peers.onClose(connection, undefined);
      },
    };
    peers.onOpen(connection);
    return { connection, sent, isClosed: () => closed };
  }
  return {
    clock, lost, peers, connect,
  };
}

test('an entry that does not reconnect is lost after the grace period', () => {
  const { clock, lost, connect } = start();
  connect().connection.close();
  clock.advance(2900);
  expect(lost).toEqual([]);
  clock.advance(200);
  expect(lost).toEqual(['entry-1']);
});

test('an entry that reconnects within the grace period keeps its requests', () => {
  const { clock, lost, connect } = start();
  connect().connection.close();
  clock.advance(1000);
  connect();
  clock.advance(10_000);
  expect(lost).toEqual([]);
});

test('replies go to the newest connection, and closing one of two loses no requests', () => {
  const {
    clock, lost, peers, connect,
  } = start();
  const first = connect();
  const second = connect();
  peers.replyTo(first.connection)({ t: 'pong', n: 1 });
  expect(second.sent).toHaveLength(1);
  second.connection.close();
  peers.broadcast({ t: 'pong', n: 2 });
  expect(first.sent).toHaveLength(1);
  clock.advance(10_000);
  expect(lost).toEqual([]);
});

test('a newer incarnation of the entry drops the requests of the older one immediately', () => {
  const { lost, connect } = start();
  const old = connect();
  connect({ incarnation: 2 });
  expect(lost).toEqual(['entry-1']);
  expect(old.isClosed()).toBe(true);
});

test('a connection from an older incarnation of the entry is closed', () => {
  const { lost, connect } = start();
  connect({ incarnation: 2 });
  expect(connect({ incarnation: 1 }).isClosed()).toBe(true);
  expect(lost).toEqual([]);
});

test('a new session of an entry that had lost this agent drops its requests', () => {
  const { lost, connect } = start();
  connect({ session: 0 });
  connect({ session: 1 });
  expect(lost).toEqual(['entry-1']);
});
