/**
 * Writes the tables of settings, errors and metrics into the docs, between the start and end
 * markers of each table. With --check nothing is written; the exit code is 1 if a page is stale.
 */
import { readdir, readFile, writeFile } from 'node:fs/promises';
import { join } from 'node:path';
import {
  envName, flagName, describeRange, type SettingsSchema,
} from '../packages/cli/src/settings/names.js';
import { refusals } from '../packages/core/src/errors/refusals.js';
import settingsSchema from '../packages/schema/src/generated/settings-schema.js';

const escapeCell = (text: string) => text.replaceAll('|', '\\|');
const formatRow = (cells: string[]) => `| ${cells.map(escapeCell).join(' | ')} |`;

function formatTable(head: string[], rows: string[][]): string {
  return [formatRow(head), formatRow(head.map(() => '---')), ...rows.map(formatRow)].join('\n');
}

function settingsTable({ properties, required = [] }: SettingsSchema): string {
  const rows = Object.entries(properties).map(([name, schema]) => {
    const isRequired = required.includes(name) && schema.default === undefined;
    const defaultText = schema.default === undefined ? '' : `\`${schema.default}\``;
    return [
      `\`${flagName(name)}\``, `\`${envName(name)}\``, describeRange(schema), isRequired ? 'required' : defaultText, schema.description ?? '',
    ];
  });
  return formatTable(['flag', 'variable', 'takes', 'default', 'what it is'], rows);
}

function refusalsTable(): string {
  const rows = Object.entries(refusals).map(([code, info]) => {
    const retryAfter = 'retryAfterMs' in info ? `${Math.ceil(Number(info.retryAfterMs) / 1000)} s` : 'none';
    return [`\`${code}\``, String(info.status), `\`${info.ran}\``, retryAfter, info.message];
  });
  return formatTable(['code', 'status', 'ran', 'Retry-After by default', 'message'], rows);
}

const metricPattern = /new (Counter|Gauge|Histogram)\(\{\s*name: '(verbenashunt_\w+)',\s*help: '((?:[^'\\]|\\.)*)'/g;

/** Table of the metrics, extracted from the source code of the daemons. */
async function metricsTable(): Promise<string> {
  const packages = ['entry', 'agent', 'gateway', 'wire'].map((name) => `packages/${name}/src`);
  const files = (await Promise.all(packages.map(async (dir) => (
    await readdir(dir, { recursive: true })).map((file) => join(dir, file))))).flat()
    .filter((file) => file.endsWith('.ts'));
  const sources = await Promise.all(files.map((file) => readFile(file, 'utf8')));
  const rows = sources.flatMap((source) => [...source.matchAll(metricPattern)])
    .map(([, kind, name, help]) => [`\`${name}\``, kind!.toLowerCase(), help!])
    .sort((a, b) => (a.join() < b.join() ? -1 : 1));
  return formatTable(['name', 'kind', 'what it tells'], rows.filter((r, i) => r.join() !== rows[i - 1]?.join()));
}

const pages: Record<string, Record<string, string>> = {
  'docs/operators/settings.md': {
    entry: settingsTable(settingsSchema.$defs.EntrySettings),
    agent: settingsTable(settingsSchema.$defs.AgentSettings),
  },
  'docs/errors.md': { refusals: refusalsTable() },
  'docs/operators/metrics.md': { metrics: await metricsTable() },
};

/** Replaces the content between the markers of each table. */
function fillTables(page: string, tables: Record<string, string>): string {
  return Object.entries(tables).reduce((text, [name, content]) => {
    const start = `<!-- table:${name} -->\n`;
    const end = `\n<!-- end:${name} -->`;
    const from = text.indexOf(start) + start.length;
    return text.slice(0, from) + content + text.slice(text.indexOf(end));
  }, page);
}

const results = await Promise.all(Object.entries(pages).map(async ([file, tables]) => {
  const current = await readFile(file, 'utf8');
  return { file, current, updated: fillTables(current, tables) };
}));
const stale = results.filter(({ current, updated }) => current !== updated);

if (process.argv.includes('--check')) {
  stale.forEach(({ file }) => process.stderr.write(`stale: ${file}; run npm run generate\n`));
  process.exitCode = stale.length > 0 ? 1 : 0;
} else {
  await Promise.all(stale.map(({ file, updated }) => writeFile(file, updated)));
}
