/** `verbenashunt-load`: an open-loop load on entries, with results as JSON and as a page. */
import { writeFile } from 'node:fs/promises';
import {
  Builtins, Cli, Command, Option,
} from 'clipanion';
import { htmlReport } from './tool/report.js';
import { runLoad } from './tool/run-load.js';
import type { LoadStream } from './tool/schedule.js';

class RunCommand extends Command {
  static override paths = [['run'], Command.Default];

  static override usage = Command.Usage({
    description: 'Sends requests at random times of a seed and measures the answers.',
    examples: [[
      'Two organisations, one with three times the traffic',
      '$0 run --entry http://127.0.0.1:8080 --org club=key-1:3 --org coach=key-2 --rate 20 --seconds 10',
    ]],
  });

  entries = Option.Array('--entry', { required: true, description: 'Address of an entry; may be given again.' });

  orgs = Option.Array('--org', { required: true, description: 'NAME=KEY[:SHARE] of an organisation; may be given again.' });

  rate = Option.String('--rate', '10', { description: 'Chat requests a second of all organisations.' });

  lookupRate = Option.String('--lookup-rate', '0', { description: 'Lookups a second of all organisations.' });

  lookupPath = Option.String('--lookup-path', '/rankings/1');

  model = Option.String('--model', 'rankings');

  promptTokens = Option.String('--prompt-tokens', '100', { description: 'Mean length of a prompt.' });

  maxTokens = Option.String('--max-tokens', '60', { description: 'Mean length of an answer.' });

  seconds = Option.String('--seconds', '10');

  seed = Option.String('--seed', '1');

  json = Option.String('--json', { description: 'File for the results.' });

  html = Option.String('--html', { description: 'File for the page.' });

  private streams(): LoadStream[] {
    const orgs = this.orgs.map((text) => {
      const [org = '', rest = ''] = text.split('=');
      const [key = '', share = '1'] = rest.split(':');
      return { org, key, share: Number(share) };
    });
    const total = orgs.reduce((sum, { share }) => sum + share, 0);
    const rates = { chat: Number(this.rate), lookup: Number(this.lookupRate) };
    return orgs.flatMap(({ org, key, share }) => (['chat', 'lookup'] as const)
      .filter((kind) => rates[kind] > 0)
      .map((kind): LoadStream => ({
        org,
        key,
        kind,
        requestsPerSecond: (rates[kind] * share) / total,
        promptTokens: Number(this.promptTokens),
        maxTokens: Number(this.maxTokens),
        model: this.model,
        path: this.lookupPath,
      })));
  }

  async execute() {
    const summary = await runLoad({
      entries: this.entries,
      streams: this.streams(),
      durationMs: Number(this.seconds) * 1000,
      seed: Number(this.seed),
    });
    if (this.json) await writeFile(this.json, JSON.stringify(summary, undefined, 2));
    if (this.html) await writeFile(this.html, htmlReport(summary));
    this.context.stdout.write(`${JSON.stringify({ ...summary, timeline: undefined }, undefined, 2)}\n`);
  }
}

const cli = new Cli({ binaryName: 'verbenashunt-load' });
[RunCommand, Builtins.HelpCommand].forEach((command) => cli.register(command));
await cli.runExit(process.argv.slice(2));
