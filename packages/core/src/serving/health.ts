/**
 * Targets that requests found dead or failing. A target is avoided for a short time after a failure
 * that tells of the whole target, longer with each one in a row; a success ends that.
 */
export interface TargetHealthOptions {
  now(): number;
}

export interface TargetHealth {
  failed(id: string): void;
  succeeded(id: string): void;
  /** Whether other targets are to be preferred. */
  isSuspect(id: string): boolean;
  readonly suspects: readonly string[];
}

interface Suspicion {
  failures: number;
  until: number;
}

/** Time for which a target is avoided after its first failure in milliseconds. */
const firstAvoidMs = 500;
/** Time for which a target is avoided at the most; recovery is noticed within it. */
const maxAvoidMs = 2000;

export function createTargetHealth({ now }: TargetHealthOptions): TargetHealth {
  const suspicions = new Map<string, Suspicion>();

  const isSuspect = (id: string) => (suspicions.get(id)?.until ?? 0) > now();

  return {
    failed(id) {
      if (isSuspect(id)) return;
      const failures = (suspicions.get(id)?.failures ?? 0) + 1;
      const avoidMs = Math.min(maxAvoidMs, firstAvoidMs * 2 ** (failures - 1));
      suspicions.set(id, { failures, until: now() + avoidMs });
    },
    succeeded(id) {
      suspicions.delete(id);
    },
    isSuspect,
    get suspects() {
      return [...suspicions.keys()].filter(isSuspect);
    },
  };
}
