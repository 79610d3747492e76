/** Finds the stage that an answer stands still at, by asking every stage where it is. */
import type { StatusReply } from '@verbenashunt/schema';

/** Probes without progress after which an engine that has work counts as stuck. */
const maxStuckProbes = 8;

export interface Probe {
  node: string;
  reply?: StatusReply | undefined;
}

export interface StallDetector {
  /** Notes a stage's answer. */
  reply(node: string, reply: StatusReply): void;
  /** Nodes held to be at fault since the last probe; begins the next probe. */
  judge(nodes: readonly string[]): string[];
  /** The answer goes on. */
  reset(): void;
}

const at = (probe: Probe) => `${probe.reply?.pos}/${probe.reply?.outputs}`;

/** Creates a detector for one attempt; a stage is judged by two probes at the least. */
export function createStallDetector(): StallDetector {
  let current = new Map<string, StatusReply>();
  let previous: Probe[] | undefined;
  let probes = 0;

  function faults(now: Probe[], before: Probe[]): string[] {
    const silent = now.filter(({ reply }) => !reply).map(({ node }) => node);
    if (silent.length > 0) return silent;
    const gone = now.filter(({ reply }) => reply!.state === 'absent' || reply!.state === 'fenced');
    if (gone.length > 0) return gone.map(({ node }) => node);
    const still = now.map((probe, i) => at(probe) === at(before[i] ?? probe));
    const cut = now.findIndex(({ reply }, i) => {
      const next = now[i + 1]?.reply;
      return next && still[i] && still[i + 1] && (reply!.outputs ?? 0) > (next.pos ?? 0);
    });
    if (cut >= 0) return [now[cut + 1]!.node];
    if (probes < maxStuckProbes) return [];
    return now.filter(({ reply }, i) => still[i] && (reply!.pos ?? 0) > (reply!.outputs ?? 0))
      .map(({ node }) => node);
  }

  return {
    reply(node, reply) {
      current.set(node, reply);
    },
    judge(nodes) {
      const now = nodes.map((node) => ({ node, reply: current.get(node) }));
      const found = previous ? faults(now, previous) : [];
      probes = previous ? probes + 1 : 1;
      previous = now;
      current = new Map();
      return found;
    },
    reset() {
      previous = undefined;
      probes = 0;
      current = new Map();
    },
  };
}
