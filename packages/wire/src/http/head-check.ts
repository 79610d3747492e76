/** Checks the heads of requests for what HTTP parsers let through, or differ in. */
import type { IncomingMessage } from 'node:http';

/** A token (RFC 9110, section 5.6.2), as names of headers have to be. */
const tokenPattern = /^[!#$%&'*+\-.^_`|~0-9A-Za-z]+$/;

const isHost = (name: string) => name.length === 'host'.length && name.toLowerCase() === 'host';

/**
 * Returns what is wrong with a request's head; undefined if it may be handled. A name with a space
 * would be dropped as unknown, with what it says, or fail at a target. `Host` has to be there once
 * (RFC 9112, section 3.2).
 */
export function findHeadFault({
  rawHeaders, httpVersion,
}: Pick<IncomingMessage, 'rawHeaders' | 'httpVersion'>): string | undefined {
  const names = rawHeaders.filter((_, i) => i % 2 === 0);
  if (!names.every((name) => tokenPattern.test(name))) return 'the name of a header is not a token';
  const hosts = names.filter(isHost).length;
  if (hosts > 1) return 'there is more than one Host';
  return hosts === 0 && httpVersion === '1.1' ? 'there is no Host' : undefined;
}
