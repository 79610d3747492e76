/** What one entry sees. */
import { Command } from 'clipanion';
import { exitCodes, RemoteCommand } from './remote.js';

export class StateCommand extends RemoteCommand {
  static override paths = [['state']];

  static override usage = Command.Usage({
    category: 'Queries', description: 'Show what an entry sees, as JSON.',
  });

  protected async run() {
    this.write(JSON.stringify(await this.read('state')));
    return exitCodes.ok;
  }
}
