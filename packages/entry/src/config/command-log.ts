/** The record of every command: written before it takes effect, and its outcome after. */
import {
  canonicalJson, ConflictError, fingerprintOf, PlatformError, refusedOutcome,
} from '@verbenashunt/core';
import {
  validators, type Command, type CommandRecord, type Outcome, type Put,
} from '@verbenashunt/schema';
import type { PlatformClient } from '@verbenashunt/wire';

export const commandTable = 'commands';

/** Version of a command's row while its outcome is open. */
export const openVersion = 1;
const maxListedTouches = 20;

export interface OpenedCommand {
  record: CommandRecord;
  /** Recorded by this call: no entry can have sent a commit for it yet. */
  isNew: boolean;
}

export interface CommandLog {
  /** Records a command, unless one is on record under its id. Throws PlatformError. */
  open(command: Command, operator: string, at: string): Promise<OpenedCommand>;
  read(commandId: string): Promise<CommandRecord | undefined>;
  readAll(): Promise<CommandRecord[]>;
  /** The row that closes a command, to be written together with its effect. */
  closingPut(record: CommandRecord, outcome: Outcome): Put;
  /** Closes a command that had no effect; returns the outcome on record. Throws PlatformError. */
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
        // The answer may be lost, or the same command may have come through another entry.
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

/** Outcome of a command that no entry carried out; recorded, so that none can do so later. */
export const abandonedOutcome = refusedOutcome('abandoned', 'the entry that took the command ended before its commit');
