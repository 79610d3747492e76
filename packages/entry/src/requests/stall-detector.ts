/** Finds the stage that stalls an answer, by comparing the status replies of all stages. */
import type { StatusReply } from '@verbenashunt/schema';

/** Probes without progress after which an engine with pending work is considered stuck. */
const maxStuckProbes = 8;

export interface Probe {
  node: string;
  reply?: StatusReply | undefined;
}

export interface StallDetector {
  /** Records a stage's reply to the current probe. */
  recordReply(node: string, reply: StatusReply): void;
  /** Returns the nodes considered faulty after the current probe, and starts the next probe. */
  findFaultyNodes(nodes: readonly string[]): string[];
  /** Discards all probes, since the answer progresses. */
  reset(): void;
}

const progressOf = (probe: Probe) => `${probe.reply?.pos}/${probe.reply?.outputs}`;

/** Creates a detector for one generation; reports no fault before the second probe. */
export function createStallDetector(): StallDetector {
  let replies = new Map<string, StatusReply>();
  let previous: Probe[] | undefined;
  let probeCount = 0;

  function compareProbes(current: Probe[], previousProbe: Probe[]): string[] {
    const silent = current.filter(({ reply }) => !reply).map(({ node }) => node);
    if (silent.length > 0) return silent;
    const withoutAttempt = current
      .filter(({ reply }) => reply!.state === 'absent' || reply!.state === 'fenced');
    if (withoutAttempt.length > 0) return withoutAttempt.map(({ node }) => node);
    const unchanged = current
      .map((probe, i) => progressOf(probe) === progressOf(previousProbe[i] ?? probe));
    const stalledHop = current.findIndex(({ reply }, i) => {
      const next = current[i + 1]?.reply;
      return next && unchanged[i] && unchanged[i + 1] && (reply!.outputs ?? 0) > (next.pos ?? 0);
    });
    if (stalledHop >= 0) return [current[stalledHop + 1]!.node];
    if (probeCount < maxStuckProbes) return [];
    return current
      .filter(({ reply }, i) => unchanged[i] && (reply!.pos ?? 0) > (reply!.outputs ?? 0))
      .map(({ node }) => node);
  }

  return {
    recordReply(node, reply) {
      replies.set(node, reply);
    },
    findFaultyNodes(nodes) {
      const now = nodes.map((node) => ({ node, reply: replies.get(node) }));
      const faulty = previous ? compareProbes(now, previous) : [];
      probeCount = previous ? probeCount + 1 : 1;
      previous = now;
      replies = new Map();
      return faulty;
    },
    reset() {
      previous = undefined;
      probeCount = 0;
      replies = new Map();
    },
  };
}
