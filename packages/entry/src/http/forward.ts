/** What of a caller's request is passed on to a plain service, checked against the protocol. */
import type { IncomingMessage } from 'node:http';
import { createRefusal } from '@verbenashunt/core';
import type { Call } from '@verbenashunt/schema';

/** Bounds of a Call message in the protocol between entries and agents. */
const maxPathLength = 8192;
const maxHeaderLength = 8192;

const methods: ReadonlySet<string> = new Set<Call['method']>([
  'GET', 'HEAD', 'OPTIONS', 'POST', 'PUT', 'PATCH', 'DELETE',
]);

/** Headers that end at the entry: the caller's key, and those of one connection. */
const strippedHeaders = new Set(['authorization', 'connection', 'keep-alive', 'transfer-encoding', 'upgrade', 'te', 'trailer']);

const isMethod = (method: string): method is Call['method'] => methods.has(method);

/** Refuses a method that no route can have. */
export function methodOf({ method = '' }: IncomingMessage): Call['method'] {
  if (isMethod(method)) return method;
  throw createRefusal('method_not_allowed', { detail: method });
}

/** The path and query, normalised; refuses what is not an origin-form target. */
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

/** Headers as text; refuses one that a Call message cannot carry. */
export function forwardedHeadersOf(req: IncomingMessage): Record<string, string> {
  const headers = Object.entries(req.headers)
    .filter(([name]) => !strippedHeaders.has(name))
    .map(([name, value]) => [name, Array.isArray(value) ? value.join(', ') : String(value)] as const);
  const tooLong = headers.find(([, value]) => value.length > maxHeaderLength);
  if (tooLong) throw createRefusal('headers_too_large', { detail: `${tooLong[0]} is longer than ${maxHeaderLength}` });
  return Object.fromEntries(headers);
}
