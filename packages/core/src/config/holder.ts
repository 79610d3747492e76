/** The newest configuration that this process has seen. It never goes back. */
import { validators, type RevisionRecord } from '@verbenashunt/schema';
import { ProtocolError } from '../errors/errors.js';
import { canonicalJson, genesisHash, sha256 } from './canonical.js';
import {
  applyChanges, declarationsOf, hashOfItems, operationsOf, type Items,
} from './items.js';
import { createConfigView, type ConfigView } from './view.js';

/** Records kept to bring a peer forward by changes alone. */
const keptRecords = 256;

/**
 * What came of an offered text: adopted; old, for a revision already passed; gap, when the records
 * between are missing and the whole state has to be asked for.
 */
export type OfferResult = 'adopted' | 'old' | 'gap';

export interface ConfigHolder {
  readonly revision: number;
  readonly view: ConfigView | undefined;
  readonly items: Items;
  /** Canonical JSON of the record in force. */
  readonly record: string | undefined;
  /** Takes the text of a record or of a state. Throws ProtocolError when it is not valid. */
  offer(text: string): OfferResult;
  /** Texts that bring a peer at `revision` to this one, by records or by the whole state. */
  textsSince(revision: number): string[];
  /** The whole state as text; undefined before the first revision. */
  stateText(): string | undefined;
  /** Kept records, oldest first. */
  recentRecords(): RevisionRecord[];
}

/** Text of a state, as stored in the table and sent to a peer that is far behind. */
export const stateTextOf = (record: string, items: Items) => canonicalJson({
  record,
  items: [...items].sort(([a], [b]) => (a < b ? -1 : 1)).map(([item, value]) => ({ item, value })),
});

function parseRecord(text: string): RevisionRecord {
  const parsed: unknown = JSON.parse(text);
  if (validators.revisionRecord(parsed)) return parsed;
  throw new ProtocolError('the configuration record does not match its schema');
}

interface Offered {
  record: RevisionRecord;
  text: string;
  /** Absent for a record without its state. */
  items: Items | undefined;
}

function parseOffered(text: string): Offered {
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

/** Creates a holder; `onAdopted` is called after each step forward. */
export function createConfigHolder(onAdopted: (view: ConfigView) => void): ConfigHolder {
  let view: ConfigView | undefined;
  let current: string | undefined;
  let hash = genesisHash;
  let items: Items = new Map();
  let kept: { revision: number; text: string }[] = [];

  const revision = () => view?.revision ?? 0;

  /** Items after the record; undefined when it does not follow the revision in force. */
  function following(record: RevisionRecord): Items | undefined {
    if (record.revision !== revision() + 1 || record.previousHash !== hash) return undefined;
    const after = applyChanges(items, record.changes);
    return hashOfItems(after) === record.stateHash ? after : undefined;
  }

  function adopt(offered: Offered, after: Items) {
    const { record, text } = offered;
    const contiguous = record.revision === revision() + 1;
    const next = createConfigView({
      revision: record.revision,
      declarations: declarationsOf(after),
      operations: operationsOf(after),
    });
    kept = [...(contiguous ? kept : []), { revision: record.revision, text }].slice(-keptRecords);
    items = after;
    hash = sha256(text);
    current = text;
    view = next;
    onAdopted(next);
  }

  const stateText = () => (current === undefined ? undefined : stateTextOf(current, items));

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
      return current;
    },
    offer(text) {
      const offered = parseOffered(text);
      if (offered.record.revision <= revision()) return 'old';
      const after = offered.items ?? following(offered.record);
      if (!after) return 'gap';
      adopt(offered, after);
      return 'adopted';
    },
    textsSince(since) {
      if (since >= revision()) return [];
      const missing = kept.filter((record) => record.revision > since);
      return missing.length === revision() - since
        ? missing.map(({ text }) => text)
        : [stateText()!];
    },
    stateText,
    recentRecords: () => kept.map(({ text }) => parseRecord(text)),
  };
}
