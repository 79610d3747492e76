/**
 * Decides what becomes of a command: conflicts are found by the items that it touches, after the
 * write sets with which MySQL tells independent transactions apart (Airtable's note on parallel
 * replication with WRITESET dependency tracking).
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

/** Largest text of a state in bytes: half of the table service's largest value. */
export const maxStateBytes = 2 * 1024 * 1024;

/** The configuration that a command would be committed on. */
export interface CommitBase {
  revision: number;
  /** Text of the record in force; undefined before the first revision. */
  record: string | undefined;
  items: Items;
  /** Every record after the command's base revision; undefined when some are no longer known. */
  since: readonly RevisionRecord[] | undefined;
}

export interface CommitDraft {
  record: string;
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

/** The newest accepted command that touched one of the items. */
export function winnerOver(
  touched: ReadonlySet<string>,
  since: readonly RevisionRecord[],
): Outcome['winner'] {
  return since.flatMap(({
    revision, operator, commandId, changes,
  }) => changes.filter(({ item }) => touched.has(item)).slice(0, 1)
    .map(({ item }) => ({
      operator, commandId, revision, item,
    }))).at(-1);
}

const belongs = (command: Command, { item }: Change) => isOperation(item) !== (command.kind === 'apply');

/** Identifies the content of a command, so that its id cannot be used for another. */
export const fingerprintOf = (command: Command, operator: string) => sha256(canonicalJson({
  command, operator,
}));

function draftOf(command: Command, operator: string, at: string, base: CommitBase): CommitDraft {
  const changed = applyChanges(base.items, command.changes);
  const touched = new Set(command.changes.map(({ item }) => item));
  const orphans = orphanOperations(changed).filter((item) => !touched.has(item))
    .map((item): Change => ({ item }));
  const items = applyChanges(changed, orphans);
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

/** Decides a command against the configuration in force. */
export function decideCommand(
  command: Command,
  operator: string,
  at: string,
  base: CommitBase,
): Decision {
  if (command.baseRevision > base.revision) {
    return refuse('unknown_base', `revision ${command.baseRevision} was never accepted; the head is revision ${base.revision}`);
  }
  if (!base.since) {
    return refuse('base_too_old', `revision ${command.baseRevision} is too far behind revision ${base.revision}; plan again`);
  }
  const foreign = command.changes.find((change) => !belongs(command, change));
  if (foreign) return refuse('bad_command', `${command.kind} may not touch ${foreign.item}`);
  const touched = new Set(command.changes.map(({ item }) => item));
  const winner = winnerOver(touched, base.since);
  if (winner) {
    return refuse('conflict', `${winner.item} was changed by ${winner.operator} (command ${winner.commandId}, revision ${winner.revision}) after revision ${command.baseRevision}`, winner);
  }
  try {
    const draft = draftOf(command, operator, at, base);
    return Buffer.byteLength(draft.state) > maxStateBytes
      ? refuse('too_large', `the configuration would take more than ${maxStateBytes} bytes`)
      : { kind: 'commit', draft };
  } catch (err) {
    if (err instanceof DeclarationError) return refuse('not_valid', err.message);
    throw err;
  }
}
