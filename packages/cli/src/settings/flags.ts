/** Faults of a command line that the parser would report without the flag's range. */
import type { Cli } from 'clipanion';
import { SettingsError } from '@verbenashunt/core';
import { envOf } from './names.js';

type Definition = ReturnType<Cli['definitions']>[number];

interface Flag {
  names: string[];
  takesValue: boolean;
  required: boolean;
  description: string;
}

const helpFlags = new Set(['-h', '--help']);

type DefinedOption = Definition['options'][number];

const toFlag = ({ definition, description = '', required }: DefinedOption): Flag => ({
  names: definition.split(' ')[0]!.split(','),
  takesValue: definition.includes('#'),
  required,
  description,
});

/** Words of the command, without the name of the program. */
const wordsOf = ({ path }: Definition) => path.split(' ').slice(1);

/** The command with the most words that the arguments start with. */
function commandOf(cli: Cli, args: readonly string[]): Definition | undefined {
  return cli.definitions()
    .filter((definition) => wordsOf(definition).every((word, i) => args[i] === word))
    .sort((a, b) => wordsOf(b).length - wordsOf(a).length)
    .find((definition) => wordsOf(definition).length > 0);
}

/** The variable of a setting's flag; of other flags the parser has the name in its description. */
const nameOf = (flag: string) => (flag.startsWith('--') ? `${flag} (${envOf(flag.slice(2))})` : flag);

/** Checks the flag at a place; returns how many arguments it takes up. */
function checkArgument(
  flags: readonly Flag[],
  command: string,
  args: readonly string[],
  i: number,
): number {
  const [name, inline] = args[i]!.split('=', 2);
  const flag = flags.find(({ names }) => names.includes(name!));
  const value = inline ?? args[i + 1];
  if (!flag) {
    const known = flags.flatMap(({ names }) => names).join(', ');
    throw new SettingsError(`${nameOf(name!)} with value "${value ?? ''}" is not a flag of ${command}; known are ${known}`);
  }
  if (flag.takesValue && value === undefined) {
    throw new SettingsError(`${nameOf(name!)} has no value. ${flag.description}`);
  }
  return flag.takesValue && inline === undefined ? 2 : 1;
}

function checkFrom(flags: readonly Flag[], command: string, args: readonly string[], i: number) {
  const arg = args[i];
  if (arg === undefined || arg === '--') return;
  const isFlag = arg.startsWith('-') && arg !== '-';
  checkFrom(flags, command, args, i + (isFlag ? checkArgument(flags, command, args, i) : 1));
}

/** Throws SettingsError for the first unknown flag, or flag without its value. */
export function checkFlags(cli: Cli, args: readonly string[]) {
  const command = commandOf(cli, args);
  if (!command || args.some((arg) => helpFlags.has(arg))) return;
  checkFrom(command.options.map(toFlag), command.path, args, wordsOf(command).length);
}

/** Says what a command line lacks that its parser refused. */
export function describeRefusal(cli: Cli, args: readonly string[]): string {
  const command = commandOf(cli, args);
  if (!command) {
    const known = cli.definitions().map((d) => wordsOf(d).join(' ')).filter(Boolean);
    return `"${args.join(' ')}" is not a command; known are ${known.join(', ')}`;
  }
  const given = new Set(args.map((arg) => arg.split('=')[0]));
  const missing = command.options.map(toFlag)
    .find(({ names, required }) => required && !names.some((name) => given.has(name)));
  return missing
    ? `${missing.names.at(-1)} is missing. ${missing.description}`
    : `"${args.join(' ')}" does not match: ${command.usage}`;
}
