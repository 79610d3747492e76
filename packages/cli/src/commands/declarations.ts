/** Commands that check, plan and apply declarations. */
import { readFile, writeFile } from 'node:fs/promises';
import { Command, Option } from 'clipanion';
import {
  canonicalJson, checkItems, diffItems, itemsOf, sha256, type Items,
} from '@verbenashunt/core';
import {
  validators, type Change, type Command as OperatorCommand, type Plan,
} from '@verbenashunt/schema';
import { loadDeclarations } from '../declarations/load.js';
import {
  exitCodes, reportErrors, newCommandId, PlanError, RemoteCommand,
} from './remote.js';

const directoryFlag = '-f,--from';
const directoryDescription = 'Directory of YAML files.';

async function loadItems(directory: string): Promise<Items> {
  const items = itemsOf(await loadDeclarations(directory));
  checkItems(items);
  return items;
}

const hashCommand = (command: OperatorCommand) => sha256(canonicalJson(command));

/** Formats one line for each changed item: + added, ~ changed, - removed. */
export function formatChanges(changes: readonly Change[], before: Items): string[] {
  return changes.map(({ item, value }) => {
    if (value === undefined) return `- ${item}`;
    const old = before.get(item);
    return old === undefined ? `+ ${item} ${value}` : `~ ${item} ${old} -> ${value}`;
  });
}

async function readPlan(file: string): Promise<OperatorCommand> {
  let plan: unknown;
  try {
    plan = JSON.parse(await readFile(file, 'utf8'));
  } catch (err) {
    throw new PlanError(`${file} cannot be read as a plan`, { cause: err });
  }
  if (!validators.plan(plan)) throw new PlanError(`${file} is not a valid plan`);
  if (hashCommand(plan.command) === plan.planHash) return plan.command;
  throw new PlanError(`${file} was changed after it was planned; plan again`);
}

export class CheckCommand extends Command {
  static override paths = [['check']];

  static override usage = Command.Usage({
    category: 'Declarations', description: 'Check a directory of declarations.',
  });

  directory = Option.String(directoryFlag, { required: true, description: directoryDescription });

  execute() {
    return reportErrors(this.context.stderr, async () => {
      const items = await loadItems(this.directory);
      const count = (prefix: string, depth: number) => [...items.keys()]
        .filter((item) => item.startsWith(prefix) && item.split('/').length === depth).length;
      this.context.stdout.write(`valid: ${count('fleet/', 2)} fleets, ${count('organisation/', 2)} organisations, ${items.size} items\n`);
      return exitCodes.ok;
    });
  }
}

abstract class PlanningCommand extends RemoteCommand {
  protected async plan(directory: string) {
    const after = await loadItems(directory);
    const { revision, items } = await this.readConfig();
    const changes = diffItems(items, after);
    return { revision, changes, lines: formatChanges(changes, items) };
  }
}

export class PlanCommand extends PlanningCommand {
  static override paths = [['plan']];

  static override usage = Command.Usage({
    category: 'Declarations',
    description: 'Show what a directory of declarations would change, and write it to a plan file.',
  });

  directory = Option.String(directoryFlag, { required: true, description: directoryDescription });

  out = Option.String('-o,--out', 'plan.json', { description: 'File that the plan is written to.' });

  protected async run() {
    const { revision, changes, lines } = await this.plan(this.directory);
    this.write(`base revision ${revision}, ${changes.length} items touched`);
    lines.forEach((line) => this.write(line));
    if (changes.length === 0) return exitCodes.ok;
    const command: OperatorCommand = {
      commandId: newCommandId(), kind: 'apply', baseRevision: revision, changes,
    };
    const plan: Plan = { command, planHash: hashCommand(command) };
    await writeFile(this.out, `${JSON.stringify(plan, null, 2)}\n`);
    this.write(`plan written to ${this.out}`);
    return exitCodes.ok;
  }
}

export class ApplyCommand extends PlanningCommand {
  static override paths = [['apply']];

  static override usage = Command.Usage({
    category: 'Declarations',
    description: 'Apply a plan file, or with -f a directory of declarations without a plan file.',
  });

  file = Option.String({ name: 'plan', required: false });

  directory = Option.String(directoryFlag, { description: directoryDescription });

  protected async run() {
    if ((this.file === undefined) === (this.directory === undefined)) {
      throw new PlanError('apply takes either a plan file or -f DIRECTORY');
    }
    if (this.file !== undefined) return this.send(await readPlan(this.file));
    const { revision, changes } = await this.plan(this.directory!);
    if (changes.length > 0) {
      return this.send({
        commandId: newCommandId(), kind: 'apply', baseRevision: revision, changes,
      });
    }
    this.write(`nothing to change at revision ${revision}`);
    return exitCodes.ok;
  }
}
