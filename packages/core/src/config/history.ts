/** Verifies the hash chain of revision records, to detect tampering. */
import { validators, type RevisionRecord } from '@verbenashunt/schema';
import { genesisHash, sha256 } from './canonical.js';
import { applyChanges, hashOfItems, type Items } from './items.js';

export interface HistoryFault {
  revision: number;
  message: string;
}

/** The part of the history that has been verified. */
interface Chain {
  hash: string;
  items: Items;
  revision: number;
  fault: HistoryFault | undefined;
}

function findFault(record: RevisionRecord, chain: Chain, items: Items): string | undefined {
  if (record.revision !== chain.revision + 1) return `revision ${chain.revision + 1} is missing`;
  if (record.previousHash !== chain.hash) return 'the record before it was changed, or this one was put in its place';
  return hashOfItems(items) === record.stateHash ? undefined : 'its changes were changed';
}

function verifyNext(chain: Chain, text: string): Chain {
  if (chain.fault) return chain;
  const record: unknown = JSON.parse(text);
  if (!validators.revisionRecord(record)) {
    return { ...chain, fault: { revision: chain.revision + 1, message: 'not a revision record' } };
  }
  const items = applyChanges(chain.items, record.changes);
  const message = findFault(record, chain, items);
  return {
    hash: sha256(text),
    items,
    revision: record.revision,
    fault: message === undefined ? undefined : { revision: record.revision, message },
  };
}

/**
 * Verifies the texts of all records in order, and that the last one is the head. Returns the first
 * fault, or undefined when the chain is intact.
 */
export function verifyHistory(
  records: readonly string[],
  head: string | undefined,
): HistoryFault | undefined {
  const chain = records.reduce(verifyNext, {
    hash: genesisHash, items: new Map(), revision: 0, fault: undefined,
  } as Chain);
  if (chain.fault) return chain.fault;
  return (head === undefined ? genesisHash : sha256(head)) === chain.hash
    ? undefined
    : { revision: chain.revision, message: 'the last record is not the head' };
}
