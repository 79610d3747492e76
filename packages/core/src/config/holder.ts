/** The newest configuration that this process has received; its revision never decreases. */
import { validators, type RevisionRecord } from '@verbenashunt/schema';
import { ProtocolError } from '../errors/errors.js';
import { canonicalJson, genesisHash, sha256 } from './canonical.js';
import {
  applyChanges, declarationsOf, hashOfItems, operationsOf, type Items,
} from './items.js';
import { createConfigView, type ConfigView } from './view.js';

/** Number of records kept to update a peer by changes instead of the whole state. */
const maxKeptRecords = 256;

/**
 * Result of an update: `adopted`; `old` when its revision is not newer than the one in force; `gap`
 * when the record does not follow the one in force, so that the records between or the whole state
 * are needed.
 */
export type OfferResult = 'adopted' | 'old' | 'gap';

export interface ConfigHolder {
  readonly revision: number;
  readonly view: ConfigView | undefined;
  readonly items: Items;
  /** Canonical JSON of the newest revision record. */
  readonly record: string | undefined;
  /** Adopts a serialised record or state if it is newer. Throws ProtocolError if it is invalid. */
  offer(text: string): OfferResult;
  /**
   * Updates for a peer at `revision`: the records after it, or the whole state when some of them
   * are no longer kept.
   */
  updatesSince(revision: number): string[];
  /** The serialised state; undefined before the first revision. */
  stateText(): string | undefined;
  /** Kept records, oldest first. */
  recentRecords(): RevisionRecord[];
}

/** Serialises a state, for the table service and for peers that are far behind. */
export const stateTextOf = (record: string, items: Items) => canonicalJson({
  record,
  items: [...items].sort(([a], [b]) => (a < b ? -1 : 1)).map(([item, value]) => ({ item, value })),
});

function parseRecord(text: string): RevisionRecord {
  const parsed: unknown = JSON.parse(text);
  if (validators.revisionRecord(parsed)) return parsed;
  throw new ProtocolError('the configuration record does not match its schema');
}

interface ParsedUpdate {
  record: RevisionRecord;
  text: string;
  /** Undefined when only the record was received. */
  items: Items | undefined;
}

function parseUpdate(text: string): ParsedUpdate {
  const parsed: unknown = JSON.parse(text);
  if (!validators.configState(parsed)) {
    return { record: parseRecord(text), text, items: undefined };
  }
  const items = applyChanges(new Map(), parsed.items);
  const record = parseRecord(parsed.record);
  if (hashOfItems(items) !== record.stateHash) {
    throw new ProtocolError(`the state of revision ${record.revision} does not match its hash`);
  }
  return { record, text: parsed.record, items };
}

/** Creates an empty holder; `onAdopted` is called after each adopted revision. */
export function createConfigHolder(onAdopted: (view: ConfigView) => void): ConfigHolder {
  let view: ConfigView | undefined;
  let currentRecord: string | undefined;
  let currentHash = genesisHash;
  let items: Items = new Map();
  let keptRecords: { revision: number; text: string }[] = [];

  const revision = () => view?.revision ?? 0;

  /** Items after the record's changes; undefined when it does not follow the record in force. */
  function itemsAfter(record: RevisionRecord): Items | undefined {
    if (record.revision !== revision() + 1 || record.previousHash !== currentHash) return undefined;
    const after = applyChanges(items, record.changes);
    return hashOfItems(after) === record.stateHash ? after : undefined;
  }

  function adopt(update: ParsedUpdate, newItems: Items) {
    const { record, text } = update;
    const contiguous = record.revision === revision() + 1;
    const newView = createConfigView({
      revision: record.revision,
      declarations: declarationsOf(newItems),
      operations: operationsOf(newItems),
    });
    keptRecords = [...(contiguous ? keptRecords : []), { revision: record.revision, text }]
      .slice(-maxKeptRecords);
    items = newItems;
    currentHash = sha256(text);
    currentRecord = text;
    view = newView;
    onAdopted(newView);
  }

  const stateText = () => (currentRecord === undefined
    ? undefined
    : stateTextOf(currentRecord, items));

  return {
    get revision() {
      return revision();
    },
    get view() {
      return view;
    },
    get items() {
      return items;
    },
    get record() {
      return currentRecord;
    },
    offer(text) {
      const update = parseUpdate(text);
      if (update.record.revision <= revision()) return 'old';
      const newItems = update.items ?? itemsAfter(update.record);
      if (!newItems) return 'gap';
      adopt(update, newItems);
      return 'adopted';
    },
    updatesSince(since) {
      if (since >= revision()) return [];
      const missing = keptRecords.filter((record) => record.revision > since);
      return missing.length === revision() - since
        ? missing.map(({ text }) => text)
        : [stateText()!];
    },
    stateText,
    recentRecords: () => keptRecords.map(({ text }) => parseRecord(text)),
  };
}
