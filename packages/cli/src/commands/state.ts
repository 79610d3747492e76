/** Command that prints the state of an entry. */
import { Command } from 'clipanion';
import { exitCodes, RemoteCommand } from './remote.js';

export class StateCommand extends RemoteCommand {
  static override paths = [['state']];

  static override usage = Command.Usage({
    category: 'Queries', description: 'Print the state of an entry as JSON: its agents, requests and revision.',
  });

  protected async run() {
    this.write(JSON.stringify(await this.read('state')));
    return exitCodes.ok;
  }
}
