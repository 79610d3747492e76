/** Runs one command line. A usage error is printed as one line and has its own exit code. */
import type { BaseContext } from 'clipanion';
import { SettingsError } from '@verbenashunt/core';
import { createCli } from './cli.js';
import { usageExitCode } from './commands/daemon.js';
import { checkFlags, describeUsageError } from './settings/flags.js';

/** Resolves to the exit code. */
export async function runCli(args: string[], context: BaseContext): Promise<number> {
  const cli = createCli();
  try {
    checkFlags(cli, args);
  } catch (err) {
    if (!(err instanceof SettingsError)) throw err;
    context.stderr.write(`${err.message}\n`);
    return usageExitCode;
  }
  try {
    cli.process(args, context);
  } catch {
    context.stderr.write(`${describeUsageError(cli, args)}\n`);
    return usageExitCode;
  }
  return cli.run(args, context);
}
