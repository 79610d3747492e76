/** The operators' query language: parsed by a generated parser, evaluated over rows. */
import { BaseError } from '../errors/errors.js';
import { parse } from './generated/parser.js';

export type Cell = string | number | boolean;
export type Row = Record<string, Cell>;

export const resources = [
  'targets', 'fleets', 'models', 'organisations', 'requests', 'revisions', 'quarantine',
] as const;

export type Resource = typeof resources[number];
export type Tables = Record<Resource, Row[]>;

interface Condition {
  field: string;
  operator: '=' | '!=' | '<' | '<=' | '>' | '>=' | '~';
  value: string;
}

export interface SelectQuery {
  kind: 'select';
  resource: Resource;
  count: boolean;
  where: Condition[];
  orderBy?: string;
  descending?: boolean;
  limit?: number;
}

export interface WhyQuery {
  kind: 'why';
  of: 'target' | 'request';
  name: string;
}

export type Query = SelectQuery | WhyQuery;

/** A query cannot be read or names what does not exist. */
export const QueryError = BaseError.subclass('QueryError', { props: { code: 'bad_query' } });

interface SyntaxFault {
  location: { start: { column: number } };
  message: string;
}

const isSyntaxFault = (err: unknown): err is SyntaxFault => err instanceof Error && 'location' in err;

/** Parses a query; QueryError names the column and what was expected there. */
export function parseQuery(text: string): Query {
  try {
    return parse(text, {}) as Query;
  } catch (err) {
    if (!isSyntaxFault(err)) throw err;
    throw new QueryError(`column ${err.location.start.column}: ${err.message}`);
  }
}

function compare(a: Cell, b: Cell): number {
  const [x, y] = [Number(a), Number(b)];
  if (!Number.isNaN(x) && !Number.isNaN(y)) return x - y;
  return String(a).localeCompare(String(b), 'en');
}

const operators: Record<Condition['operator'], (cell: Cell, value: string) => boolean> = {
  '=': (cell, value) => String(cell) === value,
  '!=': (cell, value) => String(cell) !== value,
  '<': (cell, value) => compare(cell, value) < 0,
  '<=': (cell, value) => compare(cell, value) <= 0,
  '>': (cell, value) => compare(cell, value) > 0,
  '>=': (cell, value) => compare(cell, value) >= 0,
  '~': (cell, value) => String(cell).includes(value),
};

function checkFields({ resource, where, orderBy }: SelectQuery, fields: readonly string[]) {
  const used = [...where.map(({ field }) => field), ...(orderBy === undefined ? [] : [orderBy])];
  const unknown = used.find((field) => !fields.includes(field));
  if (unknown !== undefined) {
    throw new QueryError(`${resource} have no field ${unknown}; they have ${fields.join(', ')}`);
  }
}

/** Rows that a query selects; a count gives one row. Field names are checked when rows exist. */
export function select(query: SelectQuery, rows: readonly Row[]): Row[] {
  const fields = Object.keys(rows[0] ?? {});
  if (rows.length > 0) checkFields(query, fields);
  const found = rows.filter((row) => query.where
    .every(({ field, operator, value }) => operators[operator](row[field]!, value)));
  if (query.count) return [{ count: found.length }];
  const { orderBy } = query;
  const sign = query.descending ? -1 : 1;
  const sorted = orderBy === undefined
    ? found
    : found.toSorted((a, b) => sign * compare(a[orderBy]!, b[orderBy]!));
  return sorted.slice(0, query.limit ?? sorted.length);
}

/** Lays rows out as a table with a line of headings; empty text for no rows. */
export function formatTable(rows: readonly Row[]): string {
  if (rows.length === 0) return '';
  const fields = Object.keys(rows[0]!);
  const lines = [fields, ...rows.map((row) => fields.map((field) => String(row[field])))];
  const widths = fields.map((_, i) => Math.max(...lines.map((line) => line[i]!.length)));
  return lines.map((line) => line.map((cell, i) => cell.padEnd(widths[i]!)).join('  ').trimEnd())
    .join('\n');
}
