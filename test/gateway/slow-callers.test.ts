/** Callers that read slowly or send slowly hold neither memory nor a connection without end. */
import { createServer } from 'node:http';
import { connect, createServer as createNetServer, type AddressInfo } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { operatorConfig } from '@verbenashunt/platform/stand-in';
import { wasReset } from '@verbenashunt/wire';
import { startGatewayFixture, type GatewayFixture } from '../support/gateway-fixture.js';

let fixture: GatewayFixture;

afterEach(() => fixture.close());

const head = 'POST /chat/x HTTP/1.1\r\nhost: app.example\r\nrequest-id: slow\r\nrequest-deadline-ms: 9000\r\nauthorization: Bearer key-1\r\nmodel: model\r\ntoken-usage: 50,20\r\ncontent-length: 1\r\n\r\nx';

/** Size of an answer in bytes that no socket buffers hold. */
const largeBytes = 12 * 1024 * 1024;
/** Most bytes of a stream that are taken from its target for a caller that reads nothing. */
const maxHeldBytes = 32 * 1024 * 1024;

test('a stream that its caller does not read ends, and little of it is held', async () => {
  let sentBytes = 0;
  let isClosed = false;
  const server = createServer((req, res) => {
    req.resume();
    if (req.url === '/api/report') {
      res.end(JSON.stringify({
        busy: false, sequence: 0, layers: { from: 0, to: 8 }, routeType: 'card',
      }));
      return;
    }
    res.writeHead(200, { 'request-id': String(req.headers['request-id']), 'content-type': 'text/event-stream' });
    const send = (id: number) => {
      if (isClosed) return;
      const event = `id: ${id}\ndata: ${'x'.repeat(10_000)}\n\n`;
      sentBytes += event.length;
      if (res.write(event)) setImmediate(() => send(id + 1));
      else res.once('drain', () => send(id + 1));
    };
    res.on('close', () => {
      isClosed = true;
    });
    send(1);
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  fixture = await startGatewayFixture({ apps: 1, pool: [[0, 8]] });
  const [engine] = fixture.pool;
  const { port } = server.address() as AddressInfo;
  fixture.store.put('servers', 'fast', { ...engine!.row('pool'), address: `127.0.0.1:${port}` });
  fixture.store.remove('servers', engine!.id);
  await expect.poll(async () => {
    const socket = connect(fixture.gateway.ports.front, '127.0.0.1');
    socket.on('error', () => {}).pause();
    socket.write(head);
    await new Promise((resolve) => {
      setTimeout(resolve, 300);
    });
    return sentBytes;
  }, { timeout: 5000 }).toBeGreaterThan(0);
  await expect.poll(() => isClosed, { timeout: 5000 }).toBe(true);
  expect(sentBytes).toBeLessThan(maxHeldBytes);
  server.close();
  server.closeAllConnections();
});

/** Connects a caller that reads nothing until `read` is called, which resolves at its close. */
function startPausedCaller(port: number) {
  const socket = connect(port, '127.0.0.1').on('error', () => {}).pause();
  socket.write('GET /open/large HTTP/1.1\r\nhost: app.example\r\nrequest-id: large\r\nrequest-deadline-ms: 2000\r\n\r\n');
  let received = 0;
  socket.on('data', (part) => {
    received += part.length;
  }).pause();
  return {
    read: () => new Promise<{ isOrderly: boolean; received: number }>((resolve) => {
      let isOrderly = false;
      socket.on('end', () => {
        isOrderly = !wasReset(socket);
      });
      socket.on('close', () => resolve({ isOrderly, received }));
      socket.resume();
    }),
  };
}

test('an unframed answer that its caller has not read when the entry ends is reset', async () => {
  const server = createNetServer((socket) => socket.on('error', () => {}).once('data', (text) => {
    const id = /request-id: (\S+)/i.exec(text.toString())![1];
    socket.end(`HTTP/1.1 200 OK\r\nrequest-id: ${id}\r\n\r\n${'x'.repeat(largeBytes)}`);
  }));
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  fixture = await startGatewayFixture({ apps: 1 });
  const [app] = fixture.apps;
  const { port } = server.address() as AddressInfo;
  fixture.store.put('servers', 'large', { ...app!.row('app'), address: `127.0.0.1:${port}` });
  fixture.store.remove('servers', app!.id);
  await expect.poll(async () => (await fixture.call({ path: '/open/large' })).body.length, { timeout: 5000 })
    .toBe(largeBytes);
  const caller = startPausedCaller(fixture.gateway.ports.front);
  await new Promise((resolve) => {
    setTimeout(resolve, 500);
  });
  await fixture.gateway.stop(AbortSignal.abort());
  const { isOrderly, received } = await caller.read();
  expect(received).toBeLessThan(largeBytes);
  expect(isOrderly).toBe(false);
  server.close();
});

test('a caller that sends its headers byte by byte is refused within their time limit', async () => {
  const limits = { ...operatorConfig(1).limits, headerTimeoutMs: 400 };
  fixture = await startGatewayFixture({ apps: 1, config: { limits } });
  const startedAt = performance.now();
  const received = await new Promise<string>((resolve) => {
    let text = '';
    const socket = connect(fixture.gateway.ports.front, '127.0.0.1');
    const timer = setInterval(() => socket.write('x'), 30);
    socket.on('data', (part) => {
      text += part.toString('latin1');
    });
    socket.on('error', () => {}).on('close', () => {
      clearInterval(timer);
      resolve(text);
    });
    socket.write('GET /read/a HTTP/1.1\r\nx-slow: ');
  });
  expect(received).toMatch(/^HTTP\/1\.1 408 /);
  expect(performance.now() - startedAt).toBeLessThan(2000);
});
