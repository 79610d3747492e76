/** Commands that list and release the fingerprints of requests that crashed targets. */
import { Command, Option } from 'clipanion';
import { exitCodes, RemoteCommand } from './remote.js';

const category = 'Quarantine';

export class QuarantineCommand extends RemoteCommand {
  static override paths = [['quarantine']];

  static override usage = Command.Usage({ category, description: 'List the fingerprints of requests that crashed targets, with their state.' });

  protected async run() {
    const { fingerprints } = await this.read('quarantine') as { fingerprints: object[] };
    if (this.json) this.write(JSON.stringify(fingerprints));
    else fingerprints.forEach((row) => this.write(Object.values(row).join('  ')));
    return exitCodes.ok;
  }
}

export class QuarantineReleaseCommand extends RemoteCommand {
  static override paths = [['quarantine', 'release']];

  static override usage = Command.Usage({ category, description: 'Allow requests with this fingerprint to run again.' });

  fingerprint = Option.String({ name: 'fingerprint' });

  protected async run() {
    const { state } = await this.post(`quarantine/${encodeURIComponent(this.fingerprint)}`);
    this.write(String(state));
    return exitCodes.ok;
  }
}
