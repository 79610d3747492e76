/** The verbenashunt command. */
import { Builtins, Cli } from 'clipanion';
import { AgentCommand, EntryCommand } from './commands/daemon.js';
import { ApplyCommand, CheckCommand, StateCommand } from './commands/operator.js';

export function createCli(): Cli {
  const cli = new Cli({
    binaryName: 'verbenashunt', binaryLabel: 'verbenashunt', binaryVersion: '0.1.0',
  });
  [
    EntryCommand, AgentCommand, CheckCommand, ApplyCommand, StateCommand,
    Builtins.HelpCommand, Builtins.VersionCommand,
  ].forEach((command) => cli.register(command));
  return cli;
}
