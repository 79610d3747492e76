/** Base class of the operator commands: connection to an entry, exit codes and output. */
import { randomUUID } from 'node:crypto';
import { Command, Option } from 'clipanion';
import {
  applyChanges, BaseError, SettingsError, type Items,
} from '@verbenashunt/core';
import {
  validators, type Change, type Command as OperatorCommand, type Outcome,
} from '@verbenashunt/schema';
import { createOperatorClient, OperatorApiError, type OperatorResponse } from '../client/operator-client.js';

/** Exit codes, as documented in docs/operators/changes.md. */
export const exitCodes = {
  ok: 0,
  /** The entry did not respond, or refused the request. */
  failed: 1,
  /** Invalid arguments, settings, declarations, plan or query. */
  usage: 2,
  /** An item was changed by another command after the base revision. */
  conflict: 3,
  /** It is not known yet whether the change was committed. */
  unknown: 4,
  /** `history --verify` found an altered or missing revision record. */
  tampered: 5,
} as const;

const usageErrorCodes = new Set(['bad_declaration', 'bad_plan', 'bad_query', 'bad_settings']);

export const PlanError = BaseError.subclass('PlanError', { props: { code: 'bad_plan' } });

/** Runs a command; prints a BaseError as one line and maps it to an exit code. */
export async function reportErrors(
  stderr: { write(text: string): unknown },
  run: () => Promise<number>,
): Promise<number> {
  try {
    return await run();
  } catch (err) {
    if (!(err instanceof BaseError)) throw err;
    stderr.write(`${err.message}\n`);
    return usageErrorCodes.has(err.code) ? exitCodes.usage : exitCodes.failed;
  }
}

export interface RemoteConfig {
  revision: number;
  items: Items;
}

function exitCodeForOutcome({ outcome, code }: Outcome): number {
  if (outcome === 'accepted') return exitCodes.ok;
  if (outcome === 'unknown') return exitCodes.unknown;
  return code === 'conflict' ? exitCodes.conflict : exitCodes.failed;
}

/** Returns the body of a response; throws OperatorApiError unless its status is 200. */
function unwrapResponse({ status, body }: OperatorResponse): Record<string, unknown> {
  if (status === 200) return body;
  const { code, message } = (body.error ?? {}) as { code?: string; message?: string };
  throw new OperatorApiError(`${code ?? status}: ${message ?? 'the entry refused the request'}`);
}

export abstract class RemoteCommand extends Command {
  entry = Option.String('--entry', { env: 'VERBENASHUNT_ENTRY', description: 'Address of an entry, as http://host:port.' });

  key = Option.String('--key', { env: 'VERBENASHUNT_KEY', description: 'Operator key.' });

  json = Option.Boolean('--json', false, { description: 'Print JSON.' });

  protected abstract run(): Promise<number>;

  override execute() {
    return reportErrors(this.context.stderr, () => this.run());
  }

  /** Client for the given entry; throws SettingsError if its address or the key is missing. */
  #client() {
    if (!this.entry) throw new SettingsError('--entry (VERBENASHUNT_ENTRY) is missing. Address of an entry, as http://host:port.');
    if (!this.key) throw new SettingsError('--key (VERBENASHUNT_KEY) is missing. Operator key.');
    return createOperatorClient(this.entry, this.key);
  }

  protected write(line: string) {
    this.context.stdout.write(`${line}\n`);
  }

  /** Sends a GET request to the operator API; throws OperatorApiError unless the status is 200. */
  protected async read(path: string): Promise<Record<string, unknown>> {
    return unwrapResponse(await this.#client().get(`/operator/v1/${path}`));
  }

  /** Sends a POST request to the operator API; throws OperatorApiError unless the status is 200. */
  protected async post(path: string): Promise<Record<string, unknown>> {
    return unwrapResponse(await this.#client().post(`/operator/v1/${path}`, {}));
  }

  protected async readConfig(): Promise<RemoteConfig> {
    const body = await this.read('config');
    return {
      revision: Number(body.revision),
      items: applyChanges(new Map(), body.items as Change[]),
    };
  }

  /** Sends a command, prints its outcome and returns the exit code. */
  protected async send(command: OperatorCommand): Promise<number> {
    const { body } = await this.#client().post('/operator/v1/commands', command);
    const { commandId, ...outcome } = body;
    if (!validators.outcome(outcome)) {
      const { code, message } = (body.error ?? {}) as { code?: string; message?: string };
      throw new OperatorApiError(`${code ?? 'bad_answer'}: ${message ?? 'the response is not a valid outcome'}`);
    }
    if (this.json) this.write(JSON.stringify(body));
    else if (outcome.outcome === 'accepted') this.write(`accepted as revision ${outcome.revision} (command ${command.commandId})`);
    else this.write(`${outcome.outcome}: ${outcome.code}: ${outcome.message} (command ${command.commandId})`);
    return exitCodeForOutcome(outcome);
  }
}

export const newCommandId = () => randomUUID();
