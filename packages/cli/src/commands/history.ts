/** Commands on what was changed, by whom, and what came of it: history, show, command. */
import { Command, Option } from 'clipanion';
import type { CommandRecord, RevisionRecord } from '@verbenashunt/schema';
import { exitCodes, PlanError, RemoteCommand } from './remote.js';

const lineOf = ({
  revision, at, operator, kind, commandId, changes,
}: RevisionRecord) => `${revision}  ${at}  ${operator}  ${kind}  ${changes.length} items  ${commandId}`;

interface HistoryAnswer {
  records: RevisionRecord[];
  fault?: { revision: number; message: string };
}

export class HistoryCommand extends RemoteCommand {
  static override paths = [['history']];

  static override usage = Command.Usage({
    category: 'Changes', description: 'List the accepted changes; with --verify, check their chain of hashes.',
  });

  verify = Option.Boolean('--verify', false, { description: 'Check that no record was changed.' });

  protected async run() {
    const { records, fault } = await this.read('history') as unknown as HistoryAnswer;
    if (this.json) this.write(JSON.stringify({ records, fault }));
    else records.forEach((record) => this.write(lineOf(record)));
    if (!this.verify) return exitCodes.ok;
    if (!fault) {
      this.write(`verified: ${records.length} revisions`);
      return exitCodes.ok;
    }
    this.context.stderr.write(`revision ${fault.revision}: ${fault.message}\n`);
    return exitCodes.tampered;
  }
}

export class ShowCommand extends RemoteCommand {
  static override paths = [['show']];

  static override usage = Command.Usage({
    category: 'Changes', description: 'Show one revision: who changed what, and when.',
  });

  revision = Option.String({ name: 'revision' });

  protected async run() {
    const { records } = await this.read('history') as unknown as HistoryAnswer;
    const record = records.find(({ revision }) => String(revision) === this.revision);
    if (!record) throw new PlanError(`there is no revision ${this.revision}`);
    if (this.json) {
      this.write(JSON.stringify(record));
      return exitCodes.ok;
    }
    this.write(lineOf(record));
    record.changes.forEach(({ item, value }) => this.write(value === undefined ? `- ${item}` : `= ${item} ${value}`));
    return exitCodes.ok;
  }
}

const outcomeOf = ({ outcome }: CommandRecord) => {
  if (!outcome) return 'open';
  if (outcome.outcome === 'accepted') return `accepted as revision ${outcome.revision}`;
  return `${outcome.outcome}: ${outcome.code}: ${outcome.message}`;
};

const commandLine = (record: CommandRecord) => `${record.at}  ${record.operator}  ${record.kind}  ${record.touches.join(' ')}  ${outcomeOf(record)}  ${record.commandId}`;

export class CommandCommand extends RemoteCommand {
  static override paths = [['command']];

  static override usage = Command.Usage({
    category: 'Changes',
    description: 'Show what came of a command by its id; without one, list all commands.',
    details: 'A command that no entry finished is closed as refused, so that it cannot take effect later.',
  });

  id = Option.String({ name: 'command', required: false });

  protected async run() {
    const records = this.id === undefined
      ? (await this.read('commands')).commands as CommandRecord[]
      : [await this.read(`commands/${encodeURIComponent(this.id)}`) as unknown as CommandRecord];
    if (this.json) this.write(JSON.stringify(records));
    else {
      [...records].sort((a, b) => (a.at < b.at ? -1 : 1))
        .forEach((record) => this.write(commandLine(record)));
    }
    return exitCodes.ok;
  }
}
