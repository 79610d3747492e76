/** Reads the configuration in the table service and commits revisions by conditional writes. */
import {
  ConflictError, decideCommand, fingerprintOf, PlatformError, refusedOutcome, type Clock,
  type CommitBase, type CommitDraft, type ConfigHolder,
} from '@verbenashunt/core';
import type {
  Command, CommandRecord, Outcome, RevisionRecord,
} from '@verbenashunt/schema';
import type { PlatformClient } from '@verbenashunt/wire';
import {
  abandonedOutcome, commandTable, createCommandLog, openVersion, type OpenedCommand,
} from './command-log.js';

const table = 'config';
const headKey = 'head';
const stateKey = 'state';
const recordPrefix = 'revision/';
const recordKey = (revision: number) => `${recordPrefix}${String(revision).padStart(12, '0')}`;

/** From this many missing records on, the whole state is read instead. */
const maxRecordReads = 16;
/** Maximum number of revisions that a command's base may be behind the head. */
const maxBaseDistance = 256;
const submitTimeoutMs = 4000;
const retryMs = 100;

export interface ConfigStore {
  /** Updates the configuration holder to the head in the table. Throws PlatformError. */
  catchUp(): Promise<void>;
  /**
   * Executes a command at most once. The outcome is `unknown` only if a commit may have been sent
   * and its result could not be read back; submitting the same command again, or `resolveCommand`,
   * determines it later.
   */
  submit(command: Command, operator: string): Promise<Outcome>;
  /** Reads the record of a command. Closes an open one, so that it can no longer be committed. */
  resolveCommand(commandId: string): Promise<CommandRecord | undefined>;
  commands(): Promise<CommandRecord[]>;
  /** The serialised revision records in order, and the serialised head. */
  history(): Promise<{ records: string[]; head: string | undefined }>;
}

export interface ConfigStoreDeps {
  platform: PlatformClient;
  clock: Clock;
  random: () => number;
  config: ConfigHolder;
}

interface Attempt {
  /** A commit may have been sent, by this process or another, and its result was not read back. */
  commitSent: boolean;
  deadline: number;
}

export function createConfigStore({
  platform, clock, random, config,
}: ConfigStoreDeps): ConfigStore {
  const commandLog = createCommandLog(platform);

  const isoTime = () => new Date(clock.wall()).toISOString();

  const pause = (ms: number) => new Promise<void>((resolve) => {
    clock.after(ms, resolve);
  });

  async function readRecord(revision: number): Promise<string> {
    const row = await platform.get(table, recordKey(revision));
    if (row) return row.value;
    throw new PlatformError(`revision ${revision} is missing in the table`);
  }

  async function readState() {
    const row = await platform.get(table, stateKey);
    if (row) config.offer(row.value);
  }

  /** Reads the head and updates the holder to it; returns the version of the head's row. */
  async function readHead(): Promise<number> {
    const head = await platform.get(table, headKey);
    if (!head) return 0;
    if (config.offer(head.value) !== 'gap') return head.version;
    const { revision } = JSON.parse(head.value) as RevisionRecord;
    const missing = revision - config.revision - 1;
    if (missing < maxRecordReads && config.revision > 0) {
      const revisions = Array.from({ length: missing }, (_, i) => config.revision + 1 + i);
      (await Promise.all(revisions.map(readRecord))).forEach((text) => config.offer(text));
      config.offer(head.value);
    }
    if (config.revision < revision) await readState();
    return head.version;
  }

  async function recordsSince(revision: number): Promise<RevisionRecord[] | undefined> {
    const distance = config.revision - revision;
    if (distance <= 0) return [];
    if (distance > maxBaseDistance) return undefined;
    const kept = config.recentRecords().filter((record) => record.revision > revision);
    const oldest = kept[0]?.revision ?? config.revision + 1;
    const revisions = Array.from({ length: oldest - revision - 1 }, (_, i) => revision + 1 + i);
    const texts = await Promise.all(revisions.map(readRecord));
    return [...texts.map((text) => JSON.parse(text) as RevisionRecord), ...kept];
  }

  async function readBase(command: Command): Promise<CommitBase> {
    const recordsSinceBase = await recordsSince(command.baseRevision);
    const { revision, record, items } = config;
    return {
      revision, record, items, recordsSinceBase,
    };
  }

  /** Updates the head, adds the record and closes the command in one transaction. */
  async function commit(record: CommandRecord, draft: CommitDraft, headVersion: number) {
    const outcome: Outcome = { outcome: 'accepted', revision: draft.revision };
    const key = recordKey(draft.revision);
    await platform.transact({
      conditions: [
        { table, key: headKey, version: headVersion },
        { table, key, version: 0 },
        { table: commandTable, key: record.commandId, version: openVersion },
      ],
      puts: [
        { table, key: headKey, value: draft.record },
        { table, key, value: draft.record },
        { table, key: stateKey, value: draft.state },
        commandLog.closingPut(record, outcome),
      ],
    });
    config.offer(draft.record);
    return outcome;
  }

  /**
   * Attempts a command once and returns its outcome. Throws ConflictError if the head moved or the
   * command was closed meanwhile, and PlatformError if the table service failed.
   */
  async function tryCommit(
    command: Command,
    record: CommandRecord,
    attempt: Attempt,
  ): Promise<Outcome | undefined> {
    const found = await commandLog.read(record.commandId);
    if (found?.outcome) return found.outcome;
    const headVersion = await readHead();
    const decision = decideCommand(command, record.operator, isoTime(), await readBase(command));
    if (decision.kind === 'refused') return commandLog.close(record, decision.outcome);
    // If the head moved since it was read, the condition on its version fails the transaction.
    Object.assign(attempt, { commitSent: true });
    return commit(record, decision.draft, headVersion);
  }

  async function commitWithRetries(
    command: Command,
    record: CommandRecord,
    attempt: Attempt,
  ): Promise<Outcome> {
    try {
      const outcome = await tryCommit(command, record, attempt);
      if (outcome) return outcome;
    } catch (err) {
      if (!(err instanceof ConflictError) && !(err instanceof PlatformError)) throw err;
    }
    if (clock.now() >= attempt.deadline) {
      return attempt.commitSent
        ? { outcome: 'unknown', code: 'platform_unavailable', message: 'the table service did not say whether the change was committed; ask again with the same command id' }
        : refusedOutcome('platform_unavailable', 'the table service does not answer; nothing was changed');
    }
    await pause(retryMs * (0.5 + random()));
    return commitWithRetries(command, record, attempt);
  }

  async function openWithRetries(
    command: Command,
    operator: string,
    deadline: number,
  ): Promise<OpenedCommand | undefined> {
    try {
      return await commandLog.open(command, operator, isoTime());
    } catch (err) {
      if (!(err instanceof PlatformError)) throw err;
      if (clock.now() >= deadline) return undefined;
    }
    await pause(retryMs * (0.5 + random()));
    return openWithRetries(command, operator, deadline);
  }

  return {
    async catchUp() {
      await readHead();
    },
    async submit(command, operator) {
      const deadline = clock.now() + submitTimeoutMs;
      const opened = await openWithRetries(command, operator, deadline);
      if (!opened) return refusedOutcome('platform_unavailable', 'the command could not be recorded; nothing was changed');
      const { record, isNew } = opened;
      if (record.fingerprint !== fingerprintOf(command, operator)) {
        return refusedOutcome('command_reused', `command ${command.commandId} was used by ${record.operator} for another change`);
      }
      return record.outcome ?? commitWithRetries(command, record, { commitSent: !isNew, deadline });
    },
    async resolveCommand(commandId) {
      const record = await commandLog.read(commandId);
      if (!record || record.outcome) return record;
      return { ...record, outcome: await commandLog.close(record, abandonedOutcome) };
    },
    commands: commandLog.readAll,
    async history() {
      const head = await platform.get(table, headKey);
      const rows = await platform.scan(table, recordPrefix);
      const last = head ? (JSON.parse(head.value) as RevisionRecord).revision : 0;
      // Leaves out records that were added between the two reads.
      return { records: rows.slice(0, last).map(({ value }) => value), head: head?.value };
    },
  };
}
