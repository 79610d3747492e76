/** Requests in flight by their id; passes frames and losses to the one they belong to. */
import type { Message } from '@verbenashunt/schema';

/** What every kind of request in flight hears. */
export interface RequestRun {
  receive(node: string, message: Message): void;
  /** The agent is gone, with what it held. */
  lost(node: string): void;
  /** A new connection to the same incarnation replaced one that broke. */
  resumed(node: string): void;
  cancel(): void;
}

export interface RequestRegistry {
  readonly size: number;
  add(req: string, run: RequestRun): void;
  remove(req: string): void;
  receive(node: string, message: Message): void;
  lost(node: string): void;
  resumed(node: string): void;
}

/** Creates a registry; frames of unknown requests are counted and dropped. */
export function createRequestRegistry(onForeign: () => void): RequestRegistry {
  const runs = new Map<string, RequestRun>();
  return {
    get size() {
      return runs.size;
    },
    add: (req, run) => runs.set(req, run),
    remove: (req) => runs.delete(req),
    receive(node, message) {
      if (!('req' in message)) return;
      const run = runs.get(message.req);
      if (run) run.receive(node, message);
      else if (message.t !== 'cancelled') onForeign();
    },
    lost: (node) => [...runs.values()].forEach((run) => run.lost(node)),
    resumed: (node) => [...runs.values()].forEach((run) => run.resumed(node)),
  };
}
