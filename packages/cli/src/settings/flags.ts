/** Checks flags before the parser does, as its own errors don't say which values a flag takes. */
import type { Cli } from 'clipanion';
import { SettingsError } from '@verbenashunt/core';
import { envName } from './names.js';

type CommandDefinition = ReturnType<Cli['definitions']>[number];

interface Flag {
  names: string[];
  takesValue: boolean;
  required: boolean;
  description: string;
}

const helpFlags = new Set(['-h', '--help']);

type OptionDefinition = CommandDefinition['options'][number];

/** Converts clipanion's text for an option, such as `-f,--from #0`, to a Flag. */
const toFlag = ({ definition, description = '', required }: OptionDefinition): Flag => ({
  names: definition.split(' ')[0]!.split(','),
  takesValue: definition.includes('#'),
  required,
  description,
});

/** The words that select a command, without the program name. */
const wordsOf = ({ path }: CommandDefinition) => path.split(' ').slice(1);

/** Finds the command whose words the arguments start with; the one with most words wins. */
function findCommand(cli: Cli, args: readonly string[]): CommandDefinition | undefined {
  return cli.definitions()
    .filter((definition) => wordsOf(definition).every((word, i) => args[i] === word))
    .sort((a, b) => wordsOf(b).length - wordsOf(a).length)
    .find((definition) => wordsOf(definition).length > 0);
}

/** Formats a long flag with its environment variable, and a short flag as it is. */
const formatFlag = (flag: string) => (flag.startsWith('--') ? `${flag} (${envName(flag.slice(2))})` : flag);

/** Checks the flag at index `i`; returns how many arguments it occupies. */
function checkFlagAt(
  flags: readonly Flag[],
  command: string,
  args: readonly string[],
  i: number,
): number {
  const [name, inlineValue] = args[i]!.split('=', 2);
  const flag = flags.find(({ names }) => names.includes(name!));
  const value = inlineValue ?? args[i + 1];
  if (!flag) {
    const known = flags.flatMap(({ names }) => names).join(', ');
    throw new SettingsError(`${formatFlag(name!)} with value "${value ?? ''}" is not a flag of ${command}; known are ${known}`);
  }
  if (flag.takesValue && value === undefined) {
    throw new SettingsError(`${formatFlag(name!)} has no value. ${flag.description}`);
  }
  return flag.takesValue && inlineValue === undefined ? 2 : 1;
}

function checkArgumentsFrom(
  flags: readonly Flag[],
  command: string,
  args: readonly string[],
  i: number,
) {
  const arg = args[i];
  if (arg === undefined || arg === '--') return;
  const isFlag = arg.startsWith('-') && arg !== '-';
  checkArgumentsFrom(flags, command, args, i + (isFlag ? checkFlagAt(flags, command, args, i) : 1));
}

/** Throws SettingsError for the first unknown flag, or flag without its value. */
export function checkFlags(cli: Cli, args: readonly string[]) {
  const command = findCommand(cli, args);
  if (!command || args.some((arg) => helpFlags.has(arg))) return;
  checkArgumentsFrom(command.options.map(toFlag), command.path, args, wordsOf(command).length);
}

/** Describes why the parser rejected a command line. */
export function describeUsageError(cli: Cli, args: readonly string[]): string {
  const command = findCommand(cli, args);
  if (!command) {
    const known = cli.definitions().map((d) => wordsOf(d).join(' ')).filter(Boolean);
    return `"${args.join(' ')}" is not a command; known are ${known.join(', ')}`;
  }
  const given = new Set(args.map((arg) => arg.split('=')[0]));
  const missing = command.options.map(toFlag)
    .find(({ names, required }) => required && !names.some((name) => given.has(name)));
  return missing
    ? `${missing.names.at(-1)} is missing. ${missing.description}`
    : `"${args.join(' ')}" does not match the usage: ${command.usage}`;
}
