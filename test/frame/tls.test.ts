/** TLS between callers and entries, and mutual TLS between entries and agents. */
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
import { callerKey, startInProcessCluster, type InProcessCluster } from '../support/in-process.js';

let trusted: Certificates;
let untrusted: Certificates;
let directory: string;
let cluster: InProcessCluster;
let dispatcher: Agent;

beforeAll(async () => {
  [trusted, untrusted] = await Promise.all([createCertificates(), createCertificates()]);
  directory = await mkdtemp(join(tmpdir(), 'verbenashunt-tls-'));
  const caFile = join(directory, 'ca.pem');
  await writeFile(caFile, trusted.ca);
  dispatcher = new Agent({ connect: { ca: trusted.ca } });
  const peerTls = { peerTlsCert: trusted.cert, peerTlsKey: trusted.key, peerTlsCa: trusted.ca };
  cluster = await startInProcessCluster({
    tlsCert: trusted.cert, tlsKey: trusted.key, ...peerTls,
  }, {}, {
    dispatcher, env: { NODE_EXTRA_CA_CERTS: caFile }, agentSettings: peerTls,
  });
});

afterAll(async () => {
  await cluster?.stop();
  await dispatcher.close();
  await rm(directory, { recursive: true });
});

test('a chat request succeeds with TLS on every connection', async () => {
  const res = await request(`${cluster.url}/v1/chat/completions`, {
    dispatcher,
    method: 'POST',
    headers: { authorization: `Bearer ${callerKey}` },
    body: JSON.stringify({ model: 'm', max_tokens: 4, messages: [{ role: 'user', content: 'x' }] }),
  });
  expect(res.statusCode).toBe(200);
  expect(await res.body.json()).toMatchObject({ usage: { completion_tokens: 4 } });
});

test('a caller that trusts another authority cannot connect', async () => {
  const untrustingClient = new Agent({ connect: { ca: untrusted.ca } });
  await expect(request(`${cluster.url}/v1/models`, { dispatcher: untrustingClient })).rejects.toThrow();
  await untrustingClient.close();
});

/** Sends an invalid frame and counts the bytes received until the agent closes the connection. */
function countReceivedBytes(open: () => ReturnType<typeof connect>): Promise<number> {
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

test('a peer without a certificate from the authority receives no hello', async () => {
  const port = cluster.peerPort;
  const untrustedPeers = [
    () => connect(port, '127.0.0.1'),
    () => connectToPeer('127.0.0.1', port, { cert: untrusted.cert, key: untrusted.key, ca: trusted.ca }),
    () => connectToPeer('127.0.0.1', port, { ...trusted, ca: untrusted.ca }),
  ];
  const bytes = await Promise.all(untrustedPeers.map(countReceivedBytes));
  // A plain connection gets at most the seven bytes of a TLS alert.
  expect(Math.max(...bytes)).toBeLessThanOrEqual(7);
  let helloBytes = 0;
  const peer = connectToPeer('127.0.0.1', port, trusted);
  peer.on('data', (chunk) => {
    helloBytes += chunk.length;
  });
  await waitFor('the hello', async () => helloBytes > 0);
  peer.destroy();
});
