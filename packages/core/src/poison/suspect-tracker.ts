/**
 * Tracks requests that may crash the targets that run them. A request in flight on a target that
 * crashes becomes a suspect and is retried on targets without other suspects. A second crash of a
 * target with no other suspect, or a third crash in any case, quarantines the request's
 * fingerprint.
 */

/** Crashes that quarantine a request if it was the only suspect on the last target. */
const maxCrashesAlone = 2;
/** Crashes that quarantine a request in any case. */
const maxCrashes = 3;

export type CrashVerdict = 'retry' | 'quarantine';

export interface SuspectTracker {
  /** Starts tracking a request whose fingerprint has crashed targets `crashes` times before. */
  begin(req: string, fingerprint: string, crashes: number): void;
  end(req: string): void;
  /** Sets the nodes that run the request. */
  place(req: string, nodes: readonly string[]): void;
  /** A target crashed while it ran the request; `alone`: without other suspects. */
  recordCrash(req: string, alone: boolean): CrashVerdict;
  isSuspect(req: string): boolean;
  nodesOf(req: string): string[];
  /** Nodes that run other suspects; empty if the request is not suspect itself. */
  nodesOfOtherSuspects(req: string): ReadonlySet<string>;
  /** Whether a suspect runs on a node together with another suspect. */
  sharesNodeWithSuspect(req: string): boolean;
  fingerprintOf(req: string): string | undefined;
}

interface TrackedRequest {
  fingerprint: string;
  nodes: Set<string>;
  crashes: number;
}

export function createSuspectTracker(): SuspectTracker {
  const requests = new Map<string, TrackedRequest>();

  function nodesOfOtherSuspects(req: string): Set<string> {
    if (!requests.get(req)?.crashes) return new Set();
    const others = [...requests].filter(([id, { crashes }]) => id !== req && crashes > 0);
    return new Set(others.flatMap(([, { nodes }]) => [...nodes]));
  }

  return {
    begin(req, fingerprint, crashes) {
      requests.set(req, {
        fingerprint, nodes: new Set(), crashes,
      });
    },
    end: (req) => requests.delete(req),
    place(req, nodes) {
      const tracked = requests.get(req);
      if (tracked) Object.assign(tracked, { nodes: new Set(nodes) });
    },
    recordCrash(req, alone) {
      const tracked = requests.get(req);
      if (!tracked) return 'retry';
      Object.assign(tracked, { crashes: tracked.crashes + 1 });
      return tracked.crashes >= (alone ? maxCrashesAlone : maxCrashes) ? 'quarantine' : 'retry';
    },
    isSuspect: (req) => (requests.get(req)?.crashes ?? 0) > 0,
    nodesOf: (req) => [...requests.get(req)?.nodes ?? []],
    nodesOfOtherSuspects,
    sharesNodeWithSuspect: (req) => [...requests.get(req)?.nodes ?? []]
      .some((node) => nodesOfOtherSuspects(req).has(node)),
    fingerprintOf: (req) => requests.get(req)?.fingerprint,
  };
}
