/**
 * Records of commands in the table service. A record is written before its command takes effect;
 * the outcome is added together with the effect, or alone if there is none.
 */
import {
  canonicalJson, ConflictError, fingerprintOf, PlatformError, refusedOutcome,
} from '@verbenashunt/core';
import {
  validators, type Command, type CommandRecord, type Outcome, type Put,
} from '@verbenashunt/schema';
import type { PlatformClient } from '@verbenashunt/wire';

export const commandTable = 'commands';

/** Version of the row of an open command, which is one without an outcome. */
export const openVersion = 1;
/** Maximum number of changed items that a command record lists. */
const maxListedTouches = 20;

export interface OpenedCommand {
  record: CommandRecord;
  /** The record was written by this call, so that no entry can have sent a commit for it yet. */
  isNew: boolean;
}

export interface CommandLog {
  /** Records a command as open unless its id has a record already. Throws PlatformError. */
  open(command: Command, operator: string, at: string): Promise<OpenedCommand>;
  read(commandId: string): Promise<CommandRecord | undefined>;
  readAll(): Promise<CommandRecord[]>;
  /** The write that closes a command, for the transaction that commits its effect. */
  closingPut(record: CommandRecord, outcome: Outcome): Put;
  /** Closes a command that had no effect; returns the recorded outcome. Throws PlatformError. */
  close(record: CommandRecord, outcome: Outcome): Promise<Outcome>;
}

function parse(text: string): CommandRecord {
  const record: unknown = JSON.parse(text);
  if (validators.commandRecord(record)) return record;
  throw new PlatformError('a command record does not match its schema');
}

export function createCommandLog(platform: PlatformClient): CommandLog {
  async function read(commandId: string) {
    const row = await platform.get(commandTable, commandId);
    return row && parse(row.value);
  }

  const closingPut = (record: CommandRecord, outcome: Outcome): Put => ({
    table: commandTable, key: record.commandId, value: canonicalJson({ ...record, outcome }),
  });

  return {
    read,
    readAll: async () => (await platform.scan(commandTable, '')).map(({ value }) => parse(value)),
    closingPut,
    async open(command, operator, at) {
      const { commandId, kind, baseRevision } = command;
      const known = await read(commandId);
      if (known) return { record: known, isNew: false };
      const record: CommandRecord = {
        commandId,
        operator,
        kind,
        at,
        baseRevision,
        touches: command.changes.slice(0, maxListedTouches).map(({ item }) => item),
        fingerprint: fingerprintOf(command, operator),
      };
      try {
        await platform.transact({
          conditions: [{ table: commandTable, key: commandId, version: 0 }],
          puts: [{ table: commandTable, key: commandId, value: canonicalJson(record) }],
        });
        return { record, isNew: true };
      } catch (err) {
        // The response may be lost, or another entry may have recorded the same command.
        if (!(err instanceof ConflictError) && !(err instanceof PlatformError)) throw err;
        const found = await read(commandId);
        if (found) return { record: found, isNew: false };
        throw new PlatformError('the command could not be recorded', { cause: err });
      }
    },
    async close(record, outcome) {
      try {
        await platform.transact({
          conditions: [{ table: commandTable, key: record.commandId, version: openVersion }],
          puts: [closingPut(record, outcome)],
        });
        return outcome;
      } catch (err) {
        if (!(err instanceof ConflictError) && !(err instanceof PlatformError)) throw err;
        const found = await read(record.commandId);
        if (found?.outcome) return found.outcome;
        throw new PlatformError('the outcome could not be recorded', { cause: err });
      }
    },
  };
}

/** Outcome of a command that no entry committed; recording it prevents a later commit. */
export const abandonedOutcome = refusedOutcome('abandoned', 'the entry that took the command ended before its commit');
