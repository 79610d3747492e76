/** Hop-by-hop headers, which a proxy does not forward (RFC 9110, section 7.6.1). */
export const connectionHeaders: readonly string[] = [
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer',
  'transfer-encoding', 'upgrade',
];
