/** The record of a case: what was sent, answered and run, with times since its start. */
import { writeFile } from 'node:fs/promises';

export function createRecord() {
  const startedAt = performance.now();
  const lines = [];
  return {
    add(text, at = performance.now()) {
      lines.push(`${((at - startedAt) / 1000).toFixed(3).padStart(8)} ${text}`);
    },
    write: (folder) => writeFile(new URL('record.txt', folder), `${lines.join('\n')}\n`),
  };
}

/** Share of the requests sent in [from, to) that were served, and their number. */
export function servedShare(requests, from, to) {
  const sent = requests.filter(({ sentAt }) => sentAt >= from && sentAt < to);
  return { count: sent.length, served: sent.filter(({ served }) => served).length };
}

/**
 * The rule RECOVER: of the requests sent later than `recoveryS` after the machines are back, less
 * than a quarter is served, though a quarter or more was before the final fault.
 */
export function judgeRecovery(requests, { faultAt, backAt, recoveryMs }) {
  const before = servedShare(requests, -Infinity, faultAt);
  const after = servedShare(requests, backAt + recoveryMs, Infinity);
  const isQuarter = ({ count, served }) => served * 4 >= count;
  return { before, after, isBroken: isQuarter(before) && after.count > 0 && !isQuarter(after) };
}
