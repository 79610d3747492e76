/** Registers the commands of the `verbenashunt` program. */
import { Builtins, Cli } from 'clipanion';
import { AgentCommand, EntryCommand } from './commands/daemon.js';
import { ApplyCommand, CheckCommand, PlanCommand } from './commands/declarations.js';
import { ExplainCommand } from './commands/explain.js';
import { CommandCommand, HistoryCommand, ShowCommand } from './commands/history.js';
import { QueryCommand } from './commands/query.js';
import { QuarantineCommand, QuarantineReleaseCommand } from './commands/quarantine.js';
import { StateCommand } from './commands/state.js';
import {
  DrainCommand, PinCommand, ReleaseCommand, UndrainCommand,
} from './commands/targets.js';

export function createCli(): Cli {
  const cli = new Cli({
    binaryName: 'verbenashunt', binaryLabel: 'verbenashunt', binaryVersion: '0.1.0',
  });
  [
    EntryCommand, AgentCommand, CheckCommand, PlanCommand, ApplyCommand, HistoryCommand,
    ShowCommand, CommandCommand, StateCommand, DrainCommand, UndrainCommand, PinCommand,
    ReleaseCommand, QueryCommand, ExplainCommand, QuarantineCommand, QuarantineReleaseCommand,
    Builtins.HelpCommand, Builtins.VersionCommand,
  ].forEach((command) => cli.register(command));
  return cli;
}
