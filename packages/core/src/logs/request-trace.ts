/** Collects the log lines that concern one request from the logs of several processes. */

export interface LogRecord {
  /** Unix milliseconds. */
  time: number;
  /** Process that wrote the line. */
  node: string;
  msg: string;
  /** All other fields of the line, without those in `ignoredFields`. */
  fields: Readonly<Record<string, unknown>>;
}

/** Lines up to this many milliseconds before the first one of a request may explain it. */
const contextBeforeMs = 10_000;
/** Fields in which a request's line names a target, by id or address. */
const targetFields = ['target', 'culprit', 'blamed'];
/** Fields that every line has and that a trace does not show. */
const ignoredFields: ReadonlySet<string> = new Set(['level', 'name']);
/** Messages about a process itself; they belong to the trace of each request that it handled. */
const processMessages: ReadonlySet<string> = new Set([
  'gateway started', 'stopping', 'stopped', 'settings read again', 'configuration in force',
  'table not followed', 'table followed again', 'lines left out',
]);

/**
 * Parses a JSON log line; returns undefined for other lines. The process is the line's `node`, else
 * the last word in front of the JSON, else `source`.
 */
export function parseLogLine(line: string, source: string): LogRecord | undefined {
  const start = line.indexOf('{');
  if (start === -1) return undefined;
  try {
    const {
      time, msg, node, ...rest
    } = JSON.parse(line.slice(start)) as Record<string, unknown>;
    const fields = Object.fromEntries(Object.entries(rest)
      .filter(([name]) => !ignoredFields.has(name)));
    if (typeof time !== 'number' || typeof msg !== 'string') return undefined;
    const lastWord = line.slice(0, start).trim().split(/\s+/).at(-1);
    return {
      time, msg, fields, node: typeof node === 'string' ? node : lastWord || source,
    };
  } catch {
    // The line is truncated or comes from another program.
    return undefined;
  }
}

/** Targets that lines name. An address becomes an id if any line has both. */
function targetsIn(lines: readonly LogRecord[], all: readonly LogRecord[]) {
  const idByAddress = new Map<unknown, unknown>();
  all.forEach(({ fields: { address, target } }) => {
    if (address && target) idByAddress.set(address, target);
  });
  const named = lines.flatMap(({ fields }) => targetFields.flatMap((name) => fields[name] ?? []));
  return new Set<unknown>(named.map((name) => idByAddress.get(name) ?? name));
}

/**
 * The lines of a request, with those about its targets and its processes, in order of time; empty
 * if no line has the request's id.
 */
export function collectRequestTrace(id: string, records: readonly LogRecord[]): LogRecord[] {
  const own = records.filter(({ fields }) => fields.req === id);
  if (own.length === 0) return [];
  const times = own.map(({ time }) => time);
  const [from, to] = [Math.min(...times) - contextBeforeMs, Math.max(...times)];
  const nodes = new Set(own.map(({ node }) => node));
  const targets = targetsIn(own, records);
  const isContext = ({ node, msg, fields }: LogRecord) => fields.req === undefined
    && (targets.has(fields.target) || (nodes.has(node) && processMessages.has(msg)));
  const context = records.filter((line) => line.time >= from && line.time <= to && isContext(line));
  return [...own, ...context].sort((a, b) => a.time - b.time);
}

/** Formats a line as text: time of day (UTC), process, message, fields. */
export function formatLogRecord({
  time, node, msg, fields,
}: LogRecord): string {
  const formatValue = (value: unknown) => (typeof value === 'string'
    ? value.replaceAll('\n', '; ')
    : JSON.stringify(value));
  const rest = Object.entries(fields).map(([name, value]) => `${name}=${formatValue(value)}`);
  return [new Date(time).toISOString().slice(11, 23), node, msg, ...rest].join('  ');
}
