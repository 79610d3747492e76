/** `verbenashunt-load`: sends an open-loop load to entries; results as JSON and as HTML. */
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
    description: 'Sends requests at seeded random times and measures the answers.',
    examples: [[
      'Two organisations, one with three times the traffic',
      '$0 run --entry http://127.0.0.1:8080 --org club=key-1:3 --org coach=key-2 --rate 20 --seconds 10',
    ]],
  });

  entries = Option.Array('--entry', { required: true, description: 'URL of an entry; may be repeated.' });

  orgs = Option.Array('--org', { required: true, description: 'Organisation as NAME=KEY[:SHARE of the traffic]; may be repeated.' });

  rate = Option.String('--rate', '10', { description: 'Chat requests per second, over all organisations.' });

  lookupRate = Option.String('--lookup-rate', '0', { description: 'Lookup requests per second, over all organisations.' });

  lookupPath = Option.String('--lookup-path', '/rankings/1');

  model = Option.String('--model', 'rankings');

  promptTokens = Option.String('--prompt-tokens', '100', { description: 'Mean prompt length in tokens.' });

  maxTokens = Option.String('--max-tokens', '60', { description: 'Mean answer limit in tokens.' });

  seconds = Option.String('--seconds', '10');

  seed = Option.String('--seed', '1');

  json = Option.String('--json', { description: 'File for the results as JSON.' });

  html = Option.String('--html', { description: 'File for the results as an HTML page.' });

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
