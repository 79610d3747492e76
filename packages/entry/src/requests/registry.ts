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

/** What is known of a request in flight. */
export interface RequestInfo {
  req: string;
  org: string;
  cls: string;
  /** Absent for a call to a plain service. */
  model?: string;
}

export interface RequestRegistry {
  readonly size: number;
  add(info: RequestInfo, run: RequestRun): void;
  list(): RequestInfo[];
  remove(req: string): void;
  /** Passes frames of another request, which may be of another entry, to this one as well. */
  follow(other: string, req: string): void;
  receive(node: string, message: Message): void;
  lost(node: string): void;
  resumed(node: string): void;
}

/** Creates a registry; frames of unknown requests are counted and dropped. */
export function createRequestRegistry(onForeign: () => void): RequestRegistry {
  const runs = new Map<string, RequestRun>();
  const infos = new Map<string, RequestInfo>();
  /** Followers by the request that they follow. */
  const followers = new Map<string, Set<string>>();

  function unfollow(req: string) {
    followers.forEach((set, other) => {
      set.delete(req);
      if (set.size === 0) followers.delete(other);
    });
  }

  return {
    get size() {
      return runs.size;
    },
    add(info, run) {
      runs.set(info.req, run);
      infos.set(info.req, info);
    },
    list: () => [...infos.values()],
    remove(req) {
      runs.delete(req);
      infos.delete(req);
      unfollow(req);
    },
    follow(other, req) {
      followers.set(other, (followers.get(other) ?? new Set()).add(req));
    },
    receive(node, message) {
      if (!('req' in message)) return;
      const hearers = [message.req, ...followers.get(message.req) ?? []]
        .flatMap((req) => runs.get(req) ?? []);
      hearers.forEach((run) => run.receive(node, message));
      if (hearers.length === 0 && message.t !== 'cancelled') onForeign();
    },
    lost: (node) => [...runs.values()].forEach((run) => run.lost(node)),
    resumed: (node) => [...runs.values()].forEach((run) => run.resumed(node)),
  };
}
