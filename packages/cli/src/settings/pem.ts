/** Settings that hold certificates and keys: PEM text, or the path of a file with it. */
import { readFile } from 'node:fs/promises';
import { SettingsError } from '@verbenashunt/core';
import { describeSetting } from './names.js';

/** Settings that are given all together or not at all. */
const groups = [['tlsCert', 'tlsKey'], ['peerTlsCert', 'peerTlsKey', 'peerTlsCa']] as const;

const pemMark = '-----BEGIN ';

async function load(name: string, value: string): Promise<string> {
  if (value.includes(pemMark)) return value;
  const text = await readFile(value, 'utf8').catch((err: Error) => {
    throw new SettingsError(`${describeSetting(name)} is "${value}"; it takes PEM text or the path of a PEM file: ${err.message}`);
  });
  if (text.includes(pemMark)) return text;
  throw new SettingsError(`${describeSetting(name)} is "${value}"; the file holds no PEM text`);
}

function checkWhole(names: readonly string[], values: Record<string, unknown>) {
  const missing = names.find((name) => values[name] === undefined);
  const given = names.find((name) => values[name] !== undefined);
  if (!missing || !given) return;
  throw new SettingsError(`${describeSetting(missing)} is missing (no value); it goes with ${describeSetting(given)} and takes PEM text or the path of a PEM file`);
}

/** Replaces paths of PEM files by their text; throws SettingsError. */
export async function loadPems<T extends object>(cfg: T): Promise<T> {
  const values = cfg as Record<string, unknown>;
  groups.forEach((names) => checkWhole(names, values));
  const names = groups.flat().filter((name) => values[name] !== undefined);
  const loaded = await Promise.all(
    names.map(async (name) => [name, await load(name, String(values[name]))] as const),
  );
  return { ...cfg, ...Object.fromEntries(loaded) };
}
