/** Parts of a caller's request that are forwarded to a service, as validated values. */
import type { IncomingMessage } from 'node:http';
import { createRefusal } from '@verbenashunt/core';
import type { Call } from '@verbenashunt/schema';

/** Limits of the Call message in the protocol between entries and agents. */
const maxPathLength = 8192;
const maxHeaderLength = 8192;

const methods: ReadonlySet<string> = new Set<Call['method']>([
  'GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'PATCH', 'DELETE',
]);

/** Headers that are not forwarded: the caller's key and hop-by-hop headers. */
const strippedHeaders = new Set(['authorization', 'connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'te', 'trailer']);

const isMethod = (method: string): method is Call['method'] => methods.has(method);

/** Method of the request. Throws a refusal if no route can have it. */
export function methodOf({ method = '' }: IncomingMessage): Call['method'] {
  if (isMethod(method)) return method;
  throw createRefusal('method_not_allowed', { detail: method });
}

/** URL with the normalised path and query. Throws a refusal if the target is not a path. */
export function requestUrlOf({ url = '/' }: IncomingMessage): URL {
  const parsed = url.startsWith('/') && !url.startsWith('//') && URL.canParse(url, 'http://entry')
    ? new URL(url, 'http://entry')
    : undefined;
  if (!parsed) throw createRefusal('bad_request', { detail: 'the request target is not a path' });
  if (parsed.pathname.length + parsed.search.length > maxPathLength) {
    throw createRefusal('bad_request', { detail: `the path is longer than ${maxPathLength}` });
  }
  return parsed;
}

/** Headers to forward. Throws a refusal if one is too long for a Call message. */
export function forwardedHeadersOf(req: IncomingMessage): Record<string, string> {
  const headers = Object.entries(req.headers)
    .filter(([name]) => !strippedHeaders.has(name))
    .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : String(value)] as const);
  const tooLong = headers.find(([, value]) => value.length > maxHeaderLength);
  if (tooLong) throw createRefusal('headers_too_large', { detail: `${tooLong[0]} is longer than ${maxHeaderLength}` });
  return Object.fromEntries(headers);
}
