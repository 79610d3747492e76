/** Declarations from a directory of YAML files: merged, then checked with file, line and path. */
import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import {
  isNode, LineCounter, parseDocument, type Document,
} from 'yaml';
import { DeclarationError } from '@verbenashunt/core';
import { validators, type Declarations } from '@verbenashunt/schema';

interface LoadedFile {
  file: string;
  lines: LineCounter;
  document: Document;
}

const sections = ['fleets', 'organisations', 'operators'] as const;

async function loadFile(directory: string, name: string): Promise<LoadedFile> {
  const file = join(directory, name);
  const lines = new LineCounter();
  const document = parseDocument(await readFile(file, 'utf8'), { lineCounter: lines });
  const broken = document.errors[0];
  if (broken) throw new DeclarationError(`${file}:${broken.linePos?.[0].line ?? 1}: ${broken.message}`);
  return { file, lines, document };
}

/** Finds the line of the innermost node that exists on the path. */
function lineOf({ lines, document }: LoadedFile, path: (string | number)[]): number {
  const node = document.getIn(path, true);
  if (isNode(node) && node.range) return lines.linePos(node.range[0]).line;
  return path.length === 0 ? 1 : lineOf({ lines, document, file: '' }, path.slice(0, -1));
}

function checkFile(loaded: LoadedFile): Partial<Declarations> {
  const content = loaded.document.toJS() as Partial<Declarations> | null;
  const whole = { fleets: [], organisations: [], ...content };
  if (validators.declarations(whole)) return whole;
  const issue = validators.declarations.errors![0]!;
  const path = issue.instancePath.split('/').slice(1).map((p) => (/^\d+$/.test(p) ? Number(p) : p));
  const extra = issue.params.additionalProperty;
  const reason = extra === undefined ? issue.message : `unknown property "${String(extra)}"`;
  const line = lineOf(loaded, extra === undefined ? path : [...path, String(extra)]);
  throw new DeclarationError(`${loaded.file}:${line}: ${issue.instancePath || '/'}: ${reason}`);
}

/** Loads a directory; throws DeclarationError for the first fault found. */
export async function loadDeclarations(directory: string): Promise<Declarations> {
  const found = await readdir(directory).catch((err: Error) => {
    throw new DeclarationError(`${directory}: cannot be read: ${err.message}`);
  });
  const names = found.filter((n) => /\.ya?ml$/.test(n)).sort();
  if (names.length === 0) throw new DeclarationError(`${directory}: no YAML files`);
  const files = await Promise.all(names.map((name) => loadFile(directory, name)));
  const parts = files.map(checkFile);
  const merged = Object.fromEntries(
    sections.map((section) => [section, parts.flatMap((part) => part[section] ?? [])]),
  );
  return merged as unknown as Declarations;
}
