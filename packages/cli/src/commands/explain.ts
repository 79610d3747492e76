/** The story of one request out of logs. */
import { readFile } from 'node:fs/promises';
import { basename } from 'node:path';
import { Command, Option } from 'clipanion';
import {
  collectRequestTrace, formatLogRecord, parseLogLine, SettingsError, type LogRecord,
} from '@verbenashunt/core';
import { exitCodes, guard } from './remote.js';

async function readLog(path: string): Promise<LogRecord[]> {
  const text = await readFile(path, 'utf8').catch((err: Error) => {
    throw new SettingsError(err.message);
  });
  return text.split('\n').flatMap((line) => parseLogLine(line, basename(path, '.log')) ?? []);
}

export class ExplainCommand extends Command {
  static override paths = [['explain']];

  static override usage = Command.Usage({
    category: 'Logs',
    description: 'Tell what happened to one request.',
    details: 'Joins the lines of a request with what the processes knew of the targets that it met.',
    examples: [['One request in the logs of all entries', 'verbenashunt explain 9c41d07be2a35f68 entry-*.log']],
  });

  request = Option.String({ name: 'id' });

  logs = Option.Rest({ name: 'logs', required: 1 });

  execute() {
    return guard(this.context.stderr, () => this.explain());
  }

  private async explain() {
    const logs = await Promise.all(this.logs.map(readLog));
    const story = collectRequestTrace(this.request, logs.flat());
    if (story.length === 0) {
      this.context.stderr.write(`no line of ${this.logs.join(', ')} is about ${this.request}\n`);
      return exitCodes.failed;
    }
    story.forEach((line) => this.context.stdout.write(`${formatLogRecord(line)}\n`));
    return exitCodes.ok;
  }
}
