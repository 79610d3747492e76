/** Headers of HTTP messages that concern their connection or framing. */
import type { IncomingHttpHeaders } from 'node:http';

/** Hop-by-hop headers, which a proxy does not forward (RFC 9110, section 7.6.1). */
export const connectionHeaders: readonly string[] = [
  'connection', 'keep-alive', 'proxy-authenticate', 'proxy-authorization', 'te', 'trailer',
  'transfer-encoding', 'upgrade',
];

/** With another last transfer coding than chunked, the body ends with its connection. */
const isChunked = ({ 'transfer-encoding': codings }: IncomingHttpHeaders) => String(codings)
  .split(',').at(-1)!.trim().toLowerCase() === 'chunked';

/** Whether the end of a response's body is marked, by a length or chunked encoding. */
export const isEndMarked = (headers: IncomingHttpHeaders) => 'content-length' in headers
  || isChunked(headers);
