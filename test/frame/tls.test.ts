/** TLS towards callers, and mutual TLS between entries and agents. */
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { connect } from 'node:net';
import { Agent, request } from 'undici';
import {
  afterAll, beforeAll, expect, test,
} from 'vitest';
import { waitFor } from '@verbenashunt/stand-ins';
import { connectToPeer } from '@verbenashunt/wire';
import { createCertificates, type Certificates } from '../support/certificates.js';
import { callerKey, startInProcess, type InProcess } from '../support/in-process.js';

let own: Certificates;
let foreign: Certificates;
let directory: string;
let path: InProcess;
let dispatcher: Agent;

beforeAll(async () => {
  [own, foreign] = await Promise.all([createCertificates(), createCertificates()]);
  directory = await mkdtemp(join(tmpdir(), 'verbenashunt-tls-'));
  const caFile = join(directory, 'ca.pem');
  await writeFile(caFile, own.ca);
  dispatcher = new Agent({ connect: { ca: own.ca } });
  const peerTls = { peerTlsCert: own.cert, peerTlsKey: own.key, peerTlsCa: own.ca };
  path = await startInProcess({ tlsCert: own.cert, tlsKey: own.key, ...peerTls }, {}, {
    dispatcher, env: { NODE_EXTRA_CA_CERTS: caFile }, agentSettings: peerTls,
  });
});

afterAll(async () => {
  await path?.stop();
  await dispatcher.close();
  await rm(directory, { recursive: true });
});

test('a chat passes through TLS on every hop', async () => {
  const res = await request(`${path.url}/v1/chat/completions`, {
    dispatcher,
    method: 'POST',
    headers: { authorization: `Bearer ${callerKey}` },
    body: JSON.stringify({ model: 'm', max_tokens: 4, messages: [{ role: 'user', content: 'x' }] }),
  });
  expect(res.statusCode).toBe(200);
  expect(await res.body.json()).toMatchObject({ usage: { completion_tokens: 4 } });
});

test('a caller that trusts another authority does not get through', async () => {
  const other = new Agent({ connect: { ca: foreign.ca } });
  await expect(request(`${path.url}/v1/models`, { dispatcher: other })).rejects.toThrow();
  await other.close();
});

/** Bytes that an agent sends to a connection before it is closed. */
function heard(open: () => ReturnType<typeof connect>): Promise<number> {
  return new Promise((resolve) => {
    const socket = open();
    let bytes = 0;
    socket.on('data', (chunk) => {
      bytes += chunk.length;
    });
    socket.on('error', () => {});
    socket.on('close', () => resolve(bytes));
    socket.write('\0\0\0\x01garbage');
  });
}

test('a peer without a certificate of the authority hears no hello', async () => {
  const port = path.peerPort;
  const strangers = [
    () => connect(port, '127.0.0.1'),
    () => connectToPeer('127.0.0.1', port, { cert: foreign.cert, key: foreign.key, ca: own.ca }),
    () => connectToPeer('127.0.0.1', port, { ...own, ca: foreign.ca }),
  ];
  const bytes = await Promise.all(strangers.map(heard));
  // A plain connection gets at most the seven bytes of a TLS alert.
  expect(Math.max(...bytes)).toBeLessThanOrEqual(7);
  let hello = 0;
  const peer = connectToPeer('127.0.0.1', port, own);
  peer.on('data', (chunk) => {
    hello += chunk.length;
  });
  await waitFor('the hello', async () => hello > 0);
  peer.destroy();
});
