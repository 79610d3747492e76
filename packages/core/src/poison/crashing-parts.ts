/**
 * Finds the parts of prompts that crash the targets that answer on them. Requests share parts, so
 * the cause is a part rather than one request: all that hold it crash, whatever else they hold.
 *
 * A crash is evidence against the shared parts of each request that the target had been sent and
 * had not begun to answer. A begun answer clears the parts of its prompt of everything before it.
 * What keeps evidence after several crashes is the cause.
 */

/** A request without a begun answer on a target that crashed. */
export interface UnbegunRequest {
  /** Ids of the parts of its prompt that other requests may share, in order. */
  parts: readonly string[];
  /** When it was sent to the target, in milliseconds on the store's clock. */
  sentAt: number;
}

export interface PartCrash {
  /** Incarnation of the target. */
  target: string;
  /** When the crash was noticed, in milliseconds on the store's clock. */
  at: number;
  unbegun: readonly UnbegunRequest[];
}

const keyOfUnbegun = ({ parts, sentAt }: UnbegunRequest) => `${sentAt} ${parts.join()}`;

/** Several observations of the same crash as one. */
export function mergeCrashes<T extends PartCrash>(first: T, ...others: T[]): T {
  if (others.length === 0) return first;
  const known = new Set(first.unbegun.map(keyOfUnbegun));
  const added = others.flatMap(({ unbegun }) => {
    const keys = unbegun.map(keyOfUnbegun);
    const unknown = unbegun.filter((_, i) => !known.has(keys[i]!));
    keys.forEach((key) => known.add(key));
    return unknown;
  });
  return {
    ...first,
    at: Math.min(first.at, ...others.map(({ at }) => at)),
    unbegun: [...first.unbegun, ...added],
  };
}

/** Crashes of different targets, one after another, that make a part the cause. */
export const crashingPartThreshold = 3;

/** A crash as evidence against one part. */
export interface PartEvidence {
  target: string;
  at: number;
  /** When the last of the outstanding requests with this part was sent. */
  sentAt: number;
}

/** A part of which several crashes are evidence. */
export interface SuspectPart {
  part: string;
  evidence: readonly PartEvidence[];
  /** Index of the part in the prompt; the highest one if it differs. */
  position: number;
}

/** Returns when an answer last began on a part, on the store's clock; -Infinity if never. */
export type BegunAt = (part: string) => number;

/** Fewest crashes that are worth a closer look; a part has this many by chance only. */
const minSuspectCrashes = 2;

/** Shared parts of the outstanding requests of one crash, with evidence and position. */
function partsOfCrash({ target, at, unbegun }: PartCrash) {
  const parts = new Map<string, { evidence: PartEvidence; position: number }>();
  unbegun.forEach((req) => req.parts.forEach((part, i) => {
    const known = parts.get(part);
    const sentAt = Math.max(req.sentAt, known?.evidence.sentAt ?? -Infinity);
    const position = Math.max(i, known?.position ?? 0);
    parts.set(part, { evidence: { target, at, sentAt }, position });
  }));
  return parts;
}

/** Returns the parts of which more than one crash is evidence. */
export function findSuspectParts(crashes: readonly PartCrash[]): SuspectPart[] {
  const suspects = new Map<string, { evidence: PartEvidence[]; position: number }>();
  crashes.map(partsOfCrash).forEach((parts) => parts.forEach(({ evidence, position }, part) => {
    const suspect = suspects.get(part) ?? { evidence: [], position };
    suspect.evidence.push(evidence);
    suspect.position = Math.max(suspect.position, position);
    suspects.set(part, suspect);
  }));
  return [...suspects].map(([part, suspect]) => ({ part, ...suspect }))
    .filter(({ evidence }) => evidence.length >= minSuspectCrashes);
}

/** Evidence of requests that were sent after an answer last began on the part. */
export const evidenceSince = ({ evidence }: SuspectPart, begunAt: number) => evidence
  .filter(({ sentAt }) => sentAt > begunAt);

/**
 * Longest sequence of crashes of which each met a request that was sent after the crash before it.
 * Targets that are lost together, as in a power failure, count once.
 */
export function countSequential(evidence: readonly PartEvidence[]): number {
  let end = -Infinity;
  return [...evidence].sort((a, b) => a.at - b.at).filter(({ sentAt, at }) => {
    if (sentAt < end) return false;
    end = at;
    return true;
  }).length;
}

interface RankedSuspect extends SuspectPart {
  begunAt: number;
  /** Number of crashes, one after another, since an answer last began on the part. */
  crashes: number;
}

function toRanked(suspect: SuspectPart, begunAt: number): RankedSuspect {
  const evidence = evidenceSince(suspect, begunAt);
  return {
    ...suspect, evidence, begunAt, crashes: countSequential(evidence),
  };
}

/**
 * Order of suspects by how likely they are the cause: those on which no answer has begun for the
 * longest time, then those with the most crashes, then the later ones in a prompt, as fewer
 * requests share these.
 */
function byLikelihood(a: RankedSuspect, b: RankedSuspect): number {
  if (a.begunAt !== b.begunAt) return a.begunAt < b.begunAt ? -1 : 1;
  return b.crashes - a.crashes || b.position - a.position;
}

/**
 * Returns the parts that crash targets. A crash is attributed to one part only, so a part that is
 * merely often sent together with the cause keeps too little evidence.
 */
export function findCrashingParts(
  suspects: readonly SuspectPart[],
  begunAt: BegunAt,
): SuspectPart[] {
  const explained = new Set<string>();
  return suspects
    .map((suspect) => toRanked(suspect, begunAt(suspect.part)))
    .filter(({ crashes }) => crashes >= crashingPartThreshold)
    .sort(byLikelihood)
    .filter(({ evidence }) => {
      const unexplained = evidence.filter(({ target }) => !explained.has(target));
      if (countSequential(unexplained) < crashingPartThreshold) return false;
      unexplained.forEach(({ target }) => explained.add(target));
      return true;
    });
}
