/** A stream whose server marks no end looks complete to its consumer when the gateway is killed. */
import { operatorConfig, startTarget } from '@verbenashunt/platform/stand-in';
import { runCase, sleep, until } from '../lib/harness.mjs';
import { openConnection, requestText } from '../lib/wire.mjs';

/** Whether the disruption is part of this run. */
const hasTrouble = process.env.TROUBLE !== '0';
const consumerCount = 5;
const deadlineMs = 10_000;
const eventCount = 40;
const eventMs = 50;
/** The process is killed once each consumer has this event. */
const killedAfter = 10;
const startTimeoutMs = 5000;

const eventsIn = (text) => (text.match(/^id: \d+$/gm) ?? []).length;

/** Whether an answer without a length or chunks ended in order, so that it looks complete. */
const looksComplete = ({ received, isReset }) => received.startsWith('HTTP/1.1 200')
  && !isReset && !/^(transfer-encoding|content-length):/im.test(received.split('\r\n\r\n')[0]);

/** Whether the last chunk arrived. */
const hasLastChunk = ({ received }) => received.endsWith('\r\n0\r\n\r\n');

runCase(import.meta.url, async ({
  store, record, startGateway, waitReady, atEnd,
}) => {
  const engine = Object.assign(await startTarget({
    id: 'engine-1', kind: 'card', events: eventCount, eventMs,
  }), { held: { from: 0, to: 8, version: 1 }, behaviour: 'unframed-stream' });
  atEnd(engine.close);
  store.put('servers', engine.id, engine.row('pool'));
  store.put('op', 'config', operatorConfig(1));
  const gateway = await startGateway({ node: 'edge-1' });
  await waitReady(gateway);
  const streams = Array.from({ length: consumerCount }, (_, i) => ({
    id: `r${i + 1}`, connection: openConnection(gateway.front),
  }));
  streams.forEach(({ id, connection }) => {
    record.add(`${id} is sent: POST /once/x`);
    connection.write(requestText({
      path: '/once/x', id, body: 'prompt', deadlineMs, headers: { 'Token-Usage': '10,40', 'Prompt-Prefix': 'a:5,b:5' },
    }));
  });
  const haveStarted = () => streams
    .every(({ connection }) => eventsIn(connection.received) >= killedAfter);
  if (!await until(haveStarted, startTimeoutMs)) throw new Error('the streams did not start');
  if (hasTrouble) gateway.signal('SIGKILL');
  await Promise.race([
    Promise.all(streams.map(({ connection }) => connection.closed)), sleep(deadlineMs),
  ]);
  engine.ran.forEach(({ id }) => record.add(`${engine.id} began ${id}`));
  return streams.flatMap(({ id, connection }) => {
    const events = eventsIn(connection.received);
    const isComplete = connection.isClosed
      && (looksComplete(connection) || hasLastChunk(connection));
    record.add(`${id} has ${events} events, looks complete: ${isComplete}, reset: ${connection.isReset}`);
    return isComplete && events < eventCount
      ? [`ORDER: ${id} ended as complete after event ${events} of ${eventCount}`]
      : [];
  });
});
