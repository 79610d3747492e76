/** What the operators' commands share: the connection to an entry, exit codes, printing. */
import { randomUUID } from 'node:crypto';
import { Command, Option } from 'clipanion';
import {
  applyChanges, BaseError, SettingsError, type Items,
} from '@verbenashunt/core';
import {
  validators, type Change, type Command as OperatorCommand, type Outcome,
} from '@verbenashunt/schema';
import { createOperatorClient, OperatorApiError, type OperatorAnswer } from '../client/operator-client.js';

/** Exit codes, as documented in docs/operators/changes.md. */
export const exitCodes = {
  ok: 0,
  /** The entry did not answer, or refused. */
  failed: 1,
  /** Arguments, declarations or a query are not valid. */
  usage: 2,
  /** Another operator's command came first. */
  conflict: 3,
  /** Whether the change was committed is not known yet. */
  unknown: 4,
  /** `history --verify` found a fault. */
  tampered: 5,
} as const;

const usageErrors = new Set(['bad_declaration', 'bad_plan', 'bad_query', 'bad_settings']);

export const PlanError = BaseError.subclass('PlanError', { props: { code: 'bad_plan' } });

/** Prints a typed error as one line and turns it into an exit code. */
export async function guard(
  stderr: { write(text: string): unknown },
  run: () => Promise<number>,
): Promise<number> {
  try {
    return await run();
  } catch (err) {
    if (!(err instanceof BaseError)) throw err;
    stderr.write(`${err.message}\n`);
    return usageErrors.has(err.code) ? exitCodes.usage : exitCodes.failed;
  }
}

export interface RemoteConfig {
  revision: number;
  items: Items;
}

function exitCodeOf({ outcome, code }: Outcome): number {
  if (outcome === 'accepted') return exitCodes.ok;
  if (outcome === 'unknown') return exitCodes.unknown;
  return code === 'conflict' ? exitCodes.conflict : exitCodes.failed;
}

/** The body of an answer; OperatorApiError when it is a refusal. */
function bodyOf({ status, body }: OperatorAnswer): Record<string, unknown> {
  if (status === 200) return body;
  const { code, message } = (body.error ?? {}) as { code?: string; message?: string };
  throw new OperatorApiError(`${code ?? status}: ${message ?? 'the entry refused'}`);
}

export abstract class RemoteCommand extends Command {
  entry = Option.String('--entry', { env: 'VERBENASHUNT_ENTRY', description: 'Address of an entry, as http://host:port.' });

  key = Option.String('--key', { env: 'VERBENASHUNT_KEY', description: 'Operator key.' });

  json = Option.Boolean('--json', false, { description: 'Print JSON.' });

  protected abstract run(): Promise<number>;

  override execute() {
    return guard(this.context.stderr, () => this.run());
  }

  /** The client of the entry given by flag or variable; SettingsError when one is missing. */
  #client() {
    if (!this.entry) throw new SettingsError('--entry (VERBENASHUNT_ENTRY) is missing. Address of an entry, as http://host:port.');
    if (!this.key) throw new SettingsError('--key (VERBENASHUNT_KEY) is missing. Operator key.');
    return createOperatorClient(this.entry, this.key);
  }

  protected write(line: string) {
    this.context.stdout.write(`${line}\n`);
  }

  /** Reads a path of the operators' API; OperatorApiError when it is refused. */
  protected async read(path: string): Promise<Record<string, unknown>> {
    return bodyOf(await this.#client().get(`/operator/v1/${path}`));
  }

  /** Posts to a path of the operators' API; OperatorApiError when it is refused. */
  protected async post(path: string): Promise<Record<string, unknown>> {
    return bodyOf(await this.#client().post(`/operator/v1/${path}`, {}));
  }

  protected async readConfig(): Promise<RemoteConfig> {
    const body = await this.read('config');
    return {
      revision: Number(body.revision),
      items: applyChanges(new Map(), body.items as Change[]),
    };
  }

  /** Sends a command and prints its outcome. */
  protected async send(command: OperatorCommand): Promise<number> {
    const { body } = await this.#client().post('/operator/v1/commands', command);
    const { commandId, ...outcome } = body;
    if (!validators.outcome(outcome)) {
      const { code, message } = (body.error ?? {}) as { code?: string; message?: string };
      throw new OperatorApiError(`${code ?? 'bad_answer'}: ${message ?? 'the entry sent no outcome'}`);
    }
    if (this.json) this.write(JSON.stringify(body));
    else if (outcome.outcome === 'accepted') this.write(`accepted as revision ${outcome.revision} (command ${command.commandId})`);
    else this.write(`${outcome.outcome}: ${outcome.code}: ${outcome.message} (command ${command.commandId})`);
    return exitCodeOf(outcome);
  }
}

export const newCommandId = () => randomUUID();
