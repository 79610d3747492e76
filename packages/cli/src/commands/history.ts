/** Commands that show revisions of the configuration and the outcomes of commands. */
import { Command, Option } from 'clipanion';
import type { CommandRecord, RevisionRecord } from '@verbenashunt/schema';
import { exitCodes, PlanError, RemoteCommand } from './remote.js';

const formatRevision = ({
  revision, at, operator, kind, commandId, changes,
}: RevisionRecord) => `${revision}  ${at}  ${operator}  ${kind}  ${changes.length} items  ${commandId}`;

interface HistoryResponse {
  records: RevisionRecord[];
  fault?: { revision: number; message: string };
}

export class HistoryCommand extends RemoteCommand {
  static override paths = [['history']];

  static override usage = Command.Usage({
    category: 'Changes', description: 'List the revisions of the configuration; with --verify, check their hash chain.',
  });

  verify = Option.Boolean('--verify', false, { description: 'Check that no revision record was altered.' });

  protected async run() {
    const { records, fault } = await this.read('history') as unknown as HistoryResponse;
    if (this.json) this.write(JSON.stringify({ records, fault }));
    else records.forEach((record) => this.write(formatRevision(record)));
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
    category: 'Changes', description: 'Show who changed what in a revision, and when.',
  });

  revision = Option.String({ name: 'revision' });

  protected async run() {
    const { records } = await this.read('history') as unknown as HistoryResponse;
    const record = records.find(({ revision }) => String(revision) === this.revision);
    if (!record) throw new PlanError(`there is no revision ${this.revision}`);
    if (this.json) {
      this.write(JSON.stringify(record));
      return exitCodes.ok;
    }
    this.write(formatRevision(record));
    record.changes.forEach(({ item, value }) => this.write(value === undefined ? `- ${item}` : `= ${item} ${value}`));
    return exitCodes.ok;
  }
}

const formatOutcome = ({ outcome }: CommandRecord) => {
  if (!outcome) return 'open';
  if (outcome.outcome === 'accepted') return `accepted as revision ${outcome.revision}`;
  return `${outcome.outcome}: ${outcome.code}: ${outcome.message}`;
};

const formatCommand = (record: CommandRecord) => `${record.at}  ${record.operator}  ${record.kind}  ${record.touches.join(' ')}  ${formatOutcome(record)}  ${record.commandId}`;

export class CommandCommand extends RemoteCommand {
  static override paths = [['command']];

  static override usage = Command.Usage({
    category: 'Changes',
    description: 'Show the outcome of the command with an id; without an id, list all commands.',
    details: 'If a command has no outcome yet, showing it by its id records it as refused, so that it cannot take effect later.',
  });

  id = Option.String({ name: 'command', required: false });

  protected async run() {
    const records = this.id === undefined
      ? (await this.read('commands')).commands as CommandRecord[]
      : [await this.read(`commands/${encodeURIComponent(this.id)}`) as unknown as CommandRecord];
    if (this.json) this.write(JSON.stringify(records));
    else {
      [...records].sort((a, b) => (a.at < b.at ? -1 : 1))
        .forEach((record) => this.write(formatCommand(record)));
    }
    return exitCodes.ok;
  }
}
