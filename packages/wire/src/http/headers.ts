/** Headers that concern one connection of HTTP and are not passed on (RFC 9110, 7.6.1). */
export const connectionHeaders: readonly string[] = [
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer',
  'transfer-encoding', 'upgrade',
];
