/**
 * Requests that may crash the targets that run them. A request in flight on a target that crashes
 * becomes a suspect and is tried again apart from other suspects; a second crash that no other
 * suspect explains, or a third one, quarantines its fingerprint.
 */
/** Crashes of a request that was each time the only suspect on the target. */
const maxCrashesAlone = 2;
/** Crashes of a request whatever ran beside it. */
const maxCrashes = 3;

export type CrashVerdict = 'retry' | 'quarantine';

export interface Suspects {
  /** Begins a request whose fingerprint crashed targets `crashes` times before. */
  begin(req: string, fingerprint: string, crashes: number): void;
  end(req: string): void;
  /** The request is given to these nodes and no others. */
  place(req: string, nodes: readonly string[]): void;
  /** A target crashed while it ran the request, alone among suspects or not. */
  crash(req: string, alone: boolean): CrashVerdict;
  isSuspect(req: string): boolean;
  nodesOf(req: string): string[];
  /** Nodes that a suspect must keep away from; none for a request that is not suspect. */
  occupied(req: string): ReadonlySet<string>;
  /** Whether a request shares a node that it must keep away from. */
  isMixed(req: string): boolean;
  fingerprintOf(req: string): string | undefined;
}

interface Tracked {
  fingerprint: string;
  nodes: Set<string>;
  crashes: number;
}

export function createSuspects(): Suspects {
  const requests = new Map<string, Tracked>();

  function occupied(req: string): Set<string> {
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
    crash(req, alone) {
      const tracked = requests.get(req);
      if (!tracked) return 'retry';
      Object.assign(tracked, { crashes: tracked.crashes + 1 });
      return tracked.crashes >= (alone ? maxCrashesAlone : maxCrashes) ? 'quarantine' : 'retry';
    },
    isSuspect: (req) => (requests.get(req)?.crashes ?? 0) > 0,
    nodesOf: (req) => [...requests.get(req)?.nodes ?? []],
    occupied,
    isMixed: (req) => [...requests.get(req)?.nodes ?? []].some((node) => occupied(req).has(node)),
    fingerprintOf: (req) => requests.get(req)?.fingerprint,
  };
}
