/** TLS between the system's own processes, and the material of it. */
import {
  connect, createServer, type Server, type Socket,
} from 'node:net';
import { connect as connectTls, createServer as createTlsServer } from 'node:tls';

const handshakeTimeoutMs = 3000;

/** Certificates and keys as PEM text. */
export interface TlsMaterial {
  cert: string;
  key: string;
  /** Certificates of the authorities that a peer's certificate must come from. */
  ca?: string;
}

/** Connects to a peer; with TLS both ends show a certificate of the system's own authority. */
export function connectToPeer(host: string, port: number, tls: TlsMaterial | undefined): Socket {
  if (!tls) return connect({ host, port });
  // VMs are replaced under new addresses, so a certificate stands for the system, not for a host.
  return connectTls({
    host, port, ...tls, checkServerIdentity: () => undefined,
  });
}

/** Creates a server whose sockets have passed the handshake. */
export function createPeerServer(
  tls: TlsMaterial | undefined,
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

/** The material of the peer protocol out of the settings; undefined for plain TCP. */
export const resolvePeerTls = (cfg: PeerTlsSettings): TlsMaterial | undefined => (
  cfg.peerTlsCert && cfg.peerTlsKey && cfg.peerTlsCa
    ? { cert: cfg.peerTlsCert, key: cfg.peerTlsKey, ca: cfg.peerTlsCa }
    : undefined);
