/**
 * Decides whether a command is committed. It conflicts with any command that touched one of its
 * items after its base revision. The rule follows the write sets by which MySQL recognises
 * independent transactions in parallel replication (WRITESET dependency tracking, as described by
 * Airtable).
 */
import type {
  Change, Command, Outcome, RevisionRecord,
} from '@verbenashunt/schema';
import { DeclarationError } from '../errors/errors.js';
import { canonicalJson, genesisHash, sha256 } from './canonical.js';
import { checkItems, orphanOperations } from './check.js';
import { stateTextOf } from './holder.js';
import {
  applyChanges, hashOfItems, isOperation, type Items,
} from './items.js';

/** Maximum size of a serialised state in bytes: half of the table service's largest value. */
export const maxStateBytes = 2 * 1024 * 1024;

/** The configuration in force, on which a command would be committed. */
export interface CommitBase {
  revision: number;
  /** Canonical JSON of the newest revision record; undefined before the first revision. */
  record: string | undefined;
  items: Items;
  /** All records after the command's base revision; undefined when it lies too far back. */
  recordsSinceBase: readonly RevisionRecord[] | undefined;
}

/** What a commit would write. */
export interface CommitDraft {
  /** Canonical JSON of the revision record. */
  record: string;
  /** The serialised state after the revision. */
  state: string;
  revision: number;
}

export type Decision = { kind: 'refused'; outcome: Outcome } | { kind: 'commit'; draft: CommitDraft };

export const refusedOutcome = (
  code: string,
  message: string,
  winner?: NonNullable<Outcome['winner']>,
): Outcome => ({
  outcome: 'refused', code, message, ...(winner ? { winner } : {}),
});

const refuse = (...args: Parameters<typeof refusedOutcome>): Decision => ({
  kind: 'refused', outcome: refusedOutcome(...args),
});

/** The newest accepted command that changed one of the items. */
export function findConflict(
  touchedItems: ReadonlySet<string>,
  recordsSinceBase: readonly RevisionRecord[],
): Outcome['winner'] {
  return recordsSinceBase.flatMap(({
    revision, operator, commandId, changes,
  }) => changes.filter(({ item }) => touchedItems.has(item)).slice(0, 1)
    .map(({ item }) => ({
      operator, commandId, revision, item,
    }))).at(-1);
}

/** `apply` changes declarations only; all other commands change drains and pins only. */
const isAllowed = (command: Command, { item }: Change) => isOperation(item) !== (command.kind === 'apply');

/** Hash of a command and its operator; detects a command id that is reused for another command. */
export const fingerprintOf = (command: Command, operator: string) => sha256(canonicalJson({
  command, operator,
}));

/** Builds the next revision. Drains and pins of targets that it removes are removed as well. */
function buildDraft(command: Command, operator: string, at: string, base: CommitBase): CommitDraft {
  const changedItems = applyChanges(base.items, command.changes);
  const touchedItems = new Set(command.changes.map(({ item }) => item));
  const orphans = orphanOperations(changedItems).filter((item) => !touchedItems.has(item))
    .map((item): Change => ({ item }));
  const items = applyChanges(changedItems, orphans);
  checkItems(items);
  const record: RevisionRecord = {
    revision: base.revision + 1,
    commandId: command.commandId,
    operator,
    kind: command.kind,
    at,
    baseRevision: command.baseRevision,
    previousHash: base.record === undefined ? genesisHash : sha256(base.record),
    stateHash: hashOfItems(items),
    changes: [...command.changes, ...orphans],
  };
  const text = canonicalJson(record);
  return { record: text, state: stateTextOf(text, items), revision: record.revision };
}

export function decideCommand(
  command: Command,
  operator: string,
  at: string,
  base: CommitBase,
): Decision {
  if (command.baseRevision > base.revision) {
    return refuse('unknown_base', `revision ${command.baseRevision} was never accepted; the head is revision ${base.revision}`);
  }
  if (!base.recordsSinceBase) {
    return refuse('base_too_old', `revision ${command.baseRevision} is too far behind revision ${base.revision}; plan again`);
  }
  const disallowed = command.changes.find((change) => !isAllowed(command, change));
  if (disallowed) return refuse('bad_command', `${command.kind} may not touch ${disallowed.item}`);
  const touchedItems = new Set(command.changes.map(({ item }) => item));
  const winner = findConflict(touchedItems, base.recordsSinceBase);
  if (winner) {
    return refuse('conflict', `${winner.item} was changed by ${winner.operator} (command ${winner.commandId}, revision ${winner.revision}) after revision ${command.baseRevision}`, winner);
  }
  try {
    const draft = buildDraft(command, operator, at, base);
    return Buffer.byteLength(draft.state) > maxStateBytes
      ? refuse('too_large', `the configuration would take more than ${maxStateBytes} bytes`)
      : { kind: 'commit', draft };
  } catch (err) {
    if (err instanceof DeclarationError) return refuse('not_valid', err.message);
    throw err;
  }
}
