/** Operators' commands: check, apply, state. */
import { randomUUID } from 'node:crypto';
import { Command, Option } from 'clipanion';
import { BaseError } from '@verbenashunt/core';
import { createOperatorClient } from '../client/operator-client.js';
import { loadDeclarations } from '../declarations/load.js';
import { usageExitCode } from './daemon.js';

const failedExitCode = 1;

/** Prints a typed error as one line and turns it into an exit code. */
async function guard(stderr: NodeJS.WritableStream, run: () => Promise<number>): Promise<number> {
  try {
    return await run();
  } catch (err) {
    if (!(err instanceof BaseError)) throw err;
    stderr.write(`${err.message}\n`);
    return err.code === 'bad_declaration' ? usageExitCode : failedExitCode;
  }
}

export class CheckCommand extends Command {
  static override paths = [['check']];

  static override usage = Command.Usage({
    category: 'Declarations', description: 'Check a directory of declarations.',
  });

  directory = Option.String('-f,--from', { required: true, description: 'Directory of YAML files.' });

  execute() {
    return guard(this.context.stderr as never, async () => {
      const found = await loadDeclarations(this.directory);
      this.context.stdout.write(`valid: ${found.fleets.length} fleets, ${found.organisations.length} organisations\n`);
      return 0;
    });
  }
}

abstract class RemoteCommand extends Command {
  entry = Option.String('--entry', { env: 'VERBENASHUNT_ENTRY', required: true, description: 'Address of an entry, as http://host:port.' });

  key = Option.String('--key', { env: 'VERBENASHUNT_KEY', required: true, description: 'Operator key.' });

  protected get client() {
    return createOperatorClient(this.entry, this.key);
  }

  protected print(body: unknown) {
    this.context.stdout.write(`${JSON.stringify(body)}\n`);
  }
}

export class ApplyCommand extends RemoteCommand {
  static override paths = [['apply']];

  static override usage = Command.Usage({
    category: 'Declarations', description: 'Commit a directory of declarations.',
  });

  directory = Option.String('-f,--from', { required: true, description: 'Directory of YAML files.' });

  execute() {
    return guard(this.context.stderr as never, async () => {
      const declarations = await loadDeclarations(this.directory);
      const { body: state } = await this.client.get('/operator/v1/state');
      const { status, body } = await this.client.post('/operator/v1/apply', {
        declarations, baseRevision: state.revision, commandId: randomUUID(),
      });
      this.print(body);
      return status === 200 ? 0 : failedExitCode;
    });
  }
}

export class StateCommand extends RemoteCommand {
  static override paths = [['state']];

  static override usage = Command.Usage({
    category: 'Queries', description: 'Show what an entry sees.',
  });

  execute() {
    return guard(this.context.stderr as never, async () => {
      const { status, body } = await this.client.get('/operator/v1/state');
      this.print(body);
      return status === 200 ? 0 : failedExitCode;
    });
  }
}
