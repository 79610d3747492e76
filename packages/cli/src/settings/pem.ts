/** Loads certificate and key settings, whose values are PEM text or the path of a PEM file. */
import { readFile } from 'node:fs/promises';
import { SettingsError } from '@verbenashunt/core';
import { describeSetting } from './names.js';

/** Settings of one group must be given together or not at all. */
const settingGroups = [['tlsCert', 'tlsKey'], ['peerTlsCert', 'peerTlsKey', 'peerTlsCa']] as const;

const pemHeader = '-----BEGIN ';

async function loadPem(name: string, value: string): Promise<string> {
  if (value.includes(pemHeader)) return value;
  const text = await readFile(value, 'utf8').catch((err: Error) => {
    throw new SettingsError(`${describeSetting(name)} is "${value}"; it takes PEM text or the path of a PEM file: ${err.message}`);
  });
  if (text.includes(pemHeader)) return text;
  throw new SettingsError(`${describeSetting(name)} is "${value}"; the file contains no PEM text`);
}

function checkComplete(names: readonly string[], values: Record<string, unknown>) {
  const missing = names.find((name) => values[name] === undefined);
  const given = names.find((name) => values[name] !== undefined);
  if (!missing || !given) return;
  throw new SettingsError(`${describeSetting(missing)} is missing (no value); it is required with ${describeSetting(given)} and takes PEM text or the path of a PEM file`);
}

/**
 * Replaces paths of PEM files with the text of the files. Throws SettingsError for an incomplete
 * group, an unreadable file or a file without PEM text.
 */
export async function loadPems<T extends object>(cfg: T): Promise<T> {
  const values = cfg as Record<string, unknown>;
  settingGroups.forEach((names) => checkComplete(names, values));
  const names = settingGroups.flat().filter((name) => values[name] !== undefined);
  const loaded = await Promise.all(
    names.map(async (name) => [name, await loadPem(name, String(values[name]))] as const),
  );
  return { ...cfg, ...Object.fromEntries(loaded) };
}
