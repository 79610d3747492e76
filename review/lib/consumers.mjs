/** Consumers that send requests of a plain service, each on a new connection over a slow link. */
import { sleep, until } from './harness.mjs';
import { openConnection, requestText } from './wire.mjs';

const answerTimeoutMs = 12_000;

/**
 * Sends a request whose head comes in two parts, `headMs` apart, and waits for the answer. As soon
 * as the answer is complete, it closes the connection.
 */
export async function sendInParts(port, { headMs, ...request }, record) {
  const connection = openConnection(port);
  const text = requestText(request);
  const middle = text.indexOf('Request-Id');
  record.add(`${request.id} is sent: ${request.method ?? 'POST'} ${request.path}, head within ${headMs.toFixed(0)} ms`);
  connection.write(text.slice(0, middle));
  await sleep(headMs);
  connection.write(text.slice(middle));
  const isAnswered = () => connection.isClosed || connection.message() !== undefined;
  await until(isAnswered, answerTimeoutMs);
  connection.socket.destroy();
  const status = connection.status();
  record.add(`${request.id} is answered: ${status ?? 'nothing'}`);
  return { id: request.id, status };
}
