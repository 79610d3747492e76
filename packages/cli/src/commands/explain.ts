/** Command that collects the log lines of one request from log files. */
import { readFile } from 'node:fs/promises';
import { basename } from 'node:path';
import { Command, Option } from 'clipanion';
import {
  collectRequestTrace, formatLogRecord, parseLogLine, SettingsError, type LogRecord,
} from '@verbenashunt/core';
import { exitCodes, reportErrors } from './remote.js';

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
    description: 'Show what happened to one request.',
    details: 'Prints the log lines of the request in order of time, with lines about its targets and processes shortly before and during it.',
    examples: [['One request in the logs of all entries', 'verbenashunt explain 9c41d07be2a35f68 entry-*.log']],
  });

  request = Option.String({ name: 'id' });

  logs = Option.Rest({ name: 'logs', required: 1 });

  execute() {
    return reportErrors(this.context.stderr, () => this.explain());
  }

  private async explain() {
    const logs = await Promise.all(this.logs.map(readLog));
    const trace = collectRequestTrace(this.request, logs.flat());
    if (trace.length === 0) {
      this.context.stderr.write(`no log line of request ${this.request} in ${this.logs.join(', ')}\n`);
      return exitCodes.failed;
    }
    trace.forEach((line) => this.context.stdout.write(`${formatLogRecord(line)}\n`));
    return exitCodes.ok;
  }
}
