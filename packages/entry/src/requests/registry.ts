/** Requests in flight by id; dispatches messages and connection events to them. */
import type { Message } from '@verbenashunt/schema';

/** A request in flight, of any kind. */
export interface RequestRun {
  receive(node: string, message: Message): void;
  /** The agent was lost, with all state of its requests. */
  onAgentLost(node: string): void;
  /** A new connection to the same incarnation of the agent replaced a broken one. */
  onAgentResumed(node: string): void;
  cancel(): void;
}

/** Description of a request in flight. */
export interface RequestInfo {
  req: string;
  org: string;
  cls: string;
  /** Absent for a call to a service. */
  model?: string;
}

export interface RequestRegistry {
  readonly size: number;
  add(info: RequestInfo, run: RequestRun): void;
  list(): RequestInfo[];
  remove(req: string): void;
  /** Also passes messages about request `other`, maybe of another entry, to request `req`. */
  subscribe(other: string, req: string): void;
  receive(node: string, message: Message): void;
  onAgentLost(node: string): void;
  onAgentResumed(node: string): void;
}

/** Calls `onUnknownRequest` for each message, except `cancelled`, that no request receives. */
export function createRequestRegistry(onUnknownRequest: () => void): RequestRegistry {
  const runs = new Map<string, RequestRun>();
  const infos = new Map<string, RequestInfo>();
  /** Ids of the subscribed requests, by the id of the request that they subscribed to. */
  const subscribers = new Map<string, Set<string>>();

  function unsubscribe(req: string) {
    subscribers.forEach((set, other) => {
      set.delete(req);
      if (set.size === 0) subscribers.delete(other);
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
      unsubscribe(req);
    },
    subscribe(other, req) {
      subscribers.set(other, (subscribers.get(other) ?? new Set()).add(req));
    },
    receive(node, message) {
      if (!('req' in message)) return;
      const receivers = [message.req, ...subscribers.get(message.req) ?? []]
        .flatMap((req) => runs.get(req) ?? []);
      receivers.forEach((run) => run.receive(node, message));
      if (receivers.length === 0 && message.t !== 'cancelled') onUnknownRequest();
    },
    onAgentLost: (node) => [...runs.values()].forEach((run) => run.onAgentLost(node)),
    onAgentResumed: (node) => [...runs.values()].forEach((run) => run.onAgentResumed(node)),
  };
}
