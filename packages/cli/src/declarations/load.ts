/** Loads declarations from a directory of YAML files; errors name the file, line and path. */
import { readdir, readFile } from 'node:fs/promises';
import { join } from 'node:path';
import {
  isNode, LineCounter, parseDocument, type Document,
} from 'yaml';
import { DeclarationError } from '@verbenashunt/core';
import { validators, type Declarations } from '@verbenashunt/schema';

interface LoadedFile {
  file: string;
  lineCounter: LineCounter;
  document: Document;
}

const sections = ['fleets', 'organisations', 'operators'] as const;

async function loadFile(directory: string, name: string): Promise<LoadedFile> {
  const file = join(directory, name);
  const lineCounter = new LineCounter();
  const document = parseDocument(await readFile(file, 'utf8'), { lineCounter });
  const syntaxError = document.errors[0];
  if (syntaxError) throw new DeclarationError(`${file}:${syntaxError.linePos?.[0].line ?? 1}: ${syntaxError.message}`);
  return { file, lineCounter, document };
}

/** Finds the line of the node at `path`, or of its nearest ancestor that exists. */
function findLine({ lineCounter, document }: LoadedFile, path: (string | number)[]): number {
  const node = document.getIn(path, true);
  if (isNode(node) && node.range) return lineCounter.linePos(node.range[0]).line;
  return path.length === 0 ? 1 : findLine({ lineCounter, document, file: '' }, path.slice(0, -1));
}

function validateFile(loaded: LoadedFile): Partial<Declarations> {
  const content = loaded.document.toJS() as Partial<Declarations> | null;
  const withDefaults = { fleets: [], organisations: [], ...content };
  if (validators.declarations(withDefaults)) return withDefaults;
  const issue = validators.declarations.errors![0]!;
  const path = issue.instancePath.split('/').slice(1).map((p) => (/^\d+$/.test(p) ? Number(p) : p));
  const unknownProperty = issue.params.additionalProperty;
  const reason = unknownProperty === undefined ? issue.message : `unknown property "${String(unknownProperty)}"`;
  const line = findLine(
    loaded,
    unknownProperty === undefined ? path : [...path, String(unknownProperty)],
  );
  throw new DeclarationError(`${loaded.file}:${line}: ${issue.instancePath || '/'}: ${reason}`);
}

/** Validates and merges the files of a directory; throws DeclarationError for the first error. */
export async function loadDeclarations(directory: string): Promise<Declarations> {
  const fileNames = await readdir(directory).catch((err: Error) => {
    throw new DeclarationError(`${directory}: cannot be read: ${err.message}`);
  });
  const yamlNames = fileNames.filter((n) => /\.ya?ml$/.test(n)).sort();
  if (yamlNames.length === 0) throw new DeclarationError(`${directory}: no YAML files`);
  const files = await Promise.all(yamlNames.map((name) => loadFile(directory, name)));
  const validated = files.map(validateFile);
  const merged = Object.fromEntries(
    sections.map((section) => [section, validated.flatMap((part) => part[section] ?? [])]),
  );
  return merged as unknown as Declarations;
}
