/** One request's story out of the log lines of several processes. */

/** A line of a process's log. */
export interface LogRecord {
  /** Unix milliseconds. */
  time: number;
  /** Process that wrote it. */
  node: string;
  msg: string;
  /** What else the line says. */
  fields: Readonly<Record<string, unknown>>;
}

/** Time before a request's first line from which on others may explain it, in milliseconds. */
const contextMs = 10_000;
/** Fields by which a request's line names a target: its id or its address. */
const targetFields = ['target', 'culprit', 'blamed'];
/** Fields that every line has and that tell nothing. */
const formalFields: ReadonlySet<string> = new Set(['level', 'name']);
/** What a process believes of the platform and of itself; told with each request of its own. */
const ownMessages: ReadonlySet<string> = new Set([
  'gateway started', 'stopping', 'stopped', 'settings read again', 'configuration in force',
  'table not followed', 'table followed again', 'lines left out',
]);

/**
 * Reads a line that is JSON, after any words in front of it; `source` names its process where
 * neither does. Undefined for other lines.
 */
export function parseLogLine(line: string, source: string): LogRecord | undefined {
  const start = line.indexOf('{');
  if (start === -1) return undefined;
  try {
    const {
      time, msg, node, ...rest
    } = JSON.parse(line.slice(start)) as Record<string, unknown>;
    const fields = Object.fromEntries(Object.entries(rest)
      .filter(([name]) => !formalFields.has(name)));
    if (typeof time !== 'number' || typeof msg !== 'string') return undefined;
    const before = line.slice(0, start).trim().split(/\s+/).at(-1);
    return {
      time, msg, fields, node: typeof node === 'string' ? node : before || source,
    };
  } catch {
    // A line that was cut off, or another program's.
    return undefined;
  }
}

/** Targets that lines name, by id or by an address that another line ties to an id. */
function targetsIn(lines: readonly LogRecord[], all: readonly LogRecord[]) {
  const idOf = new Map<unknown, unknown>();
  all.forEach(({ fields: { address, target } }) => {
    if (address && target) idOf.set(address, target);
  });
  const named = lines.flatMap(({ fields }) => targetFields.flatMap((name) => fields[name] ?? []));
  return new Set<unknown>(named.map((name) => idOf.get(name) ?? name));
}

/** The lines of a request and those that explain them, in order; none when its id is unknown. */
export function storyOf(id: string, records: readonly LogRecord[]): LogRecord[] {
  const own = records.filter(({ fields }) => fields.req === id);
  if (own.length === 0) return [];
  const times = own.map(({ time }) => time);
  const [from, to] = [Math.min(...times) - contextMs, Math.max(...times)];
  const nodes = new Set(own.map(({ node }) => node));
  const targets = targetsIn(own, records);
  const explains = ({ node, msg, fields }: LogRecord) => fields.req === undefined
    && (targets.has(fields.target) || (nodes.has(node) && ownMessages.has(msg)));
  const context = records.filter((line) => line.time >= from && line.time <= to && explains(line));
  return [...own, ...context].sort((a, b) => a.time - b.time);
}

/** A line of a story as text: time of day, process, message, fields. */
export function formatStoryLine({
  time, node, msg, fields,
}: LogRecord): string {
  const textOf = (value: unknown) => (typeof value === 'string'
    ? value.replaceAll('\n', '; ')
    : JSON.stringify(value));
  const rest = Object.entries(fields).map(([name, value]) => `${name}=${textOf(value)}`);
  return [new Date(time).toISOString().slice(11, 23), node, msg, ...rest].join('  ');
}
