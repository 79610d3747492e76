/** Query language for operators: parses queries and evaluates them over tables of rows. */
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

/** A query has a syntax error or names something that does not exist. */
export const QueryError = BaseError.subclass('QueryError', { props: { code: 'bad_query' } });

interface PeggySyntaxError {
  location: { start: { column: number } };
  message: string;
}

const isPeggySyntaxError = (err: unknown): err is PeggySyntaxError => err instanceof Error && 'location' in err;

/** Parses a query; the QueryError for a syntax error names the column and what was expected. */
export function parseQuery(text: string): Query {
  try {
    return parse(text, {}) as Query;
  } catch (err) {
    if (!isPeggySyntaxError(err)) throw err;
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
  const unknownField = used.find((field) => !fields.includes(field));
  if (unknownField !== undefined) {
    throw new QueryError(`${resource} have no field ${unknownField}; they have ${fields.join(', ')}`);
  }
}

/**
 * The rows that a query selects, or a single row with their count. Field names are checked only if
 * there are rows, as these define the fields.
 */
export function select(query: SelectQuery, rows: readonly Row[]): Row[] {
  const fields = Object.keys(rows[0] ?? {});
  if (rows.length > 0) checkFields(query, fields);
  const matches = rows.filter((row) => query.where
    .every(({ field, operator, value }) => operators[operator](row[field]!, value)));
  if (query.count) return [{ count: matches.length }];
  const { orderBy } = query;
  const sign = query.descending ? -1 : 1;
  const sorted = orderBy === undefined
    ? matches
    : matches.toSorted((a, b) => sign * compare(a[orderBy]!, b[orderBy]!));
  return sorted.slice(0, query.limit ?? sorted.length);
}

/** Formats rows as an aligned text table with a header line; an empty string for no rows. */
export function formatTable(rows: readonly Row[]): string {
  if (rows.length === 0) return '';
  const fields = Object.keys(rows[0]!);
  const lines = [fields, ...rows.map((row) => fields.map((field) => String(row[field])))];
  const widths = fields.map((_, i) => Math.max(...lines.map((line) => line[i]!.length)));
  return lines.map((line) => line.map((cell, i) => cell.padEnd(widths[i]!)).join('  ').trimEnd())
    .join('\n');
}
