/** TLS certificates for tests: a CA and a certificate for 127.0.0.1 that it signed. */
import { generate } from 'selfsigned';

export interface Certificates {
  ca: string;
  cert: string;
  key: string;
}

export async function createCertificates(): Promise<Certificates> {
  const authority = await generate([{ name: 'commonName', value: 'test authority' }], {
    extensions: [
      { name: 'basicConstraints', cA: true, critical: true },
      { name: 'keyUsage', keyCertSign: true, cRLSign: true },
    ],
  });
  const issued = await generate([{ name: 'commonName', value: '127.0.0.1' }], {
    ca: { key: authority.private, cert: authority.cert },
    extensions: [{ name: 'subjectAltName', altNames: [{ type: 7, ip: '127.0.0.1' }] }],
  });
  return { ca: authority.cert, cert: issued.cert, key: issued.private };
}
