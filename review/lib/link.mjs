/** A link to the gateway with a delay each way, as a proxy; ends and resets are passed on too. */
import { connect, createServer } from 'node:net';
import { wasReset } from './wire.mjs';

/** Passes on what one socket sends to the other, `delayMs` later and in order. */
function pass(from, to, delayOf) {
  let lastAt = 0;
  const later = (run) => {
    const at = Math.max(lastAt, performance.now() + delayOf());
    lastAt = at;
    setTimeout(run, Math.max(0, at - performance.now()));
  };
  from.on('data', (chunk) => later(() => to.write(chunk)));
  from.on('end', () => {
    const isReset = wasReset(from);
    later(() => (isReset ? to.resetAndDestroy() : to.end()));
  });
  from.on('error', () => later(() => to.resetAndDestroy()));
  from.on('close', () => later(() => to.end()));
  to.on('error', () => {});
}

/** Resolves to the link's port and a function that closes it. */
export async function startLink(port, delayMs) {
  const sockets = new Set();
  const server = createServer({ allowHalfOpen: true, noDelay: true }, (outer) => {
    const inner = connect({
      host: '127.0.0.1', port, allowHalfOpen: true, noDelay: true,
    });
    sockets.add(outer).add(inner);
    pass(outer, inner, () => delayMs);
    pass(inner, outer, () => delayMs);
  });
  await new Promise((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    port: server.address().port,
    close: () => new Promise((resolve) => {
      server.close(resolve);
      sockets.forEach((socket) => socket.destroy());
    }),
  };
}
