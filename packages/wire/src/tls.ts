/** Certificates and keys of TLS, as PEM text. */

export interface TlsMaterial {
  cert: string;
  key: string;
  /** Certificates of the authorities that a peer's certificate must come from. */
  ca?: string;
}
