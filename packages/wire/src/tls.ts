/** Mutual TLS for the peer protocol. */
import {
  connect, createServer, type Server, type Socket,
} from 'node:net';
import { connect as connectTls, createServer as createTlsServer } from 'node:tls';

const handshakeTimeoutMs = 3000;

/** A certificate and its private key, as PEM text. */
export interface TlsCredentials {
  cert: string;
  key: string;
  /** Certificates of the authorities that may issue a peer's certificate, as PEM text. */
  ca?: string;
}

/** Connects to a peer; with TLS, both ends need a certificate from the configured authority. */
export function connectToPeer(host: string, port: number, tls: TlsCredentials | undefined): Socket {
  if (!tls) return connect({ host, port });
  // VMs are replaced at new addresses, so one certificate covers the whole system, not one host.
  return connectTls({
    host, port, ...tls, checkServerIdentity: () => undefined,
  });
}

/** Creates a server; with TLS, `onSocket` is called after the handshake. */
export function createPeerServer(
  tls: TlsCredentials | undefined,
  onSocket: (socket: Socket) => void,
): Server {
  if (!tls) return createServer(onSocket);
  const options = {
    ...tls, requestCert: true, rejectUnauthorized: true, handshakeTimeout: handshakeTimeoutMs,
  };
  return createTlsServer(options, onSocket);
}

interface PeerTlsSettings {
  peerTlsCert?: string;
  peerTlsKey?: string;
  peerTlsCa?: string;
}

/** Reads the peer protocol's credentials from the settings; undefined means plain TCP. */
export const resolvePeerTls = (cfg: PeerTlsSettings): TlsCredentials | undefined => (
  cfg.peerTlsCert && cfg.peerTlsKey && cfg.peerTlsCa
    ? { cert: cfg.peerTlsCert, key: cfg.peerTlsKey, ca: cfg.peerTlsCa }
    : undefined);
