/** Text that clients send which do not behave: HTTP in odd shapes, most of it without end. */

/** The head of a request; `lines` follow the ones that a gateway's callers send. */
export const requestHead = (path: string, lines: readonly string[]) => [
  `POST ${path} HTTP/1.1`, 'host: app.example', 'request-id: r', 'request-deadline-ms: 600000',
  'authorization: Bearer key-1', ...lines, '', '',
].join('\r\n');

const hexRadix = 16;

/** A chunk of a chunked body. */
export const chunkOf = (text: string) => `${text.length.toString(hexRadix)}\r\n${text}\r\n`;

/** Short header lines that take up at most `bytes` with their ends. */
export function shortLines(bytes: number): string[] {
  const line = 'ab:cd';
  return Array<string>(Math.floor(bytes / `${line}\r\n`.length)).fill(line);
}

/** Short header lines, each with a name of its own. */
export const distinctLines = (count: number) => Array
  .from({ length: count }, (_, i) => `x${i.toString(36)}:1`);
