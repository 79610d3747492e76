/** Checks the chain of revision records for tampering. */
import { validators, type RevisionRecord } from '@verbenashunt/schema';
import { genesisHash, sha256 } from './canonical.js';
import { applyChanges, hashOfItems, type Items } from './items.js';

export interface HistoryFault {
  revision: number;
  message: string;
}

interface Chain {
  hash: string;
  items: Items;
  revision: number;
  fault: HistoryFault | undefined;
}

function faultOf(record: RevisionRecord, chain: Chain, items: Items): string | undefined {
  if (record.revision !== chain.revision + 1) return `revision ${chain.revision + 1} is missing`;
  if (record.previousHash !== chain.hash) return 'the record before it was changed, or this one was put in its place';
  return hashOfItems(items) === record.stateHash ? undefined : 'its changes were changed';
}

function follow(chain: Chain, text: string): Chain {
  if (chain.fault) return chain;
  const record: unknown = JSON.parse(text);
  if (!validators.revisionRecord(record)) {
    return { ...chain, fault: { revision: chain.revision + 1, message: 'not a revision record' } };
  }
  const items = applyChanges(chain.items, record.changes);
  const message = faultOf(record, chain, items);
  return {
    hash: sha256(text),
    items,
    revision: record.revision,
    fault: message === undefined ? undefined : { revision: record.revision, message },
  };
}

/**
 * Follows the records from the first to the head; the head's text is compared with the last.
 * Returns the first fault, or undefined when the chain is whole.
 */
export function verifyHistory(
  records: readonly string[],
  head: string | undefined,
): HistoryFault | undefined {
  const chain = records.reduce(follow, {
    hash: genesisHash, items: new Map(), revision: 0, fault: undefined,
  } as Chain);
  if (chain.fault) return chain.fault;
  return (head === undefined ? genesisHash : sha256(head)) === chain.hash
    ? undefined
    : { revision: chain.revision, message: 'the last record is not the head' };
}
