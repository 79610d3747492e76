/** Streams of operations that a caller may resume on a new connection for some time. */
import type { EngineOp, EngineOut } from '@verbenashunt/schema';

/** Outputs kept for a caller that resumes, at the least; trimmed at twice as many. */
const maxTail = 10_000;

export interface Session {
  /** Notes an operation; false when it came before, as one sent again after a resume. */
  take(op: EngineOp): boolean;
  /** Keeps an output and sends it when a connection is there. */
  output(out: EngineOut): void;
  /** Sends on this connection from now on, beginning with the outputs after the first `after`. */
  attach(send: (out: EngineOut) => void, after: number): void;
  /** The connection is gone; the session ends unless it is resumed within `graceMs`. */
  detach(send: (out: EngineOut) => void, graceMs: number): void;
}

export interface SessionStore {
  /** The session of this id, made when absent. */
  open(id: string): Session;
  has(id: string): boolean;
}

/** Creates a store; `end` hears of the sequences of a session that was not resumed. */
export function createSessionStore(
  end: (sequences: readonly string[]) => void,
): SessionStore {
  const sessions = new Map<string, Session>();

  function create(id: string): Session {
    /** First position that was not taken yet, by sequence. */
    const taken = new Map<string, number>();
    let tail: EngineOut[] = [];
    let dropped = 0;
    let sender: ((out: EngineOut) => void) | undefined;
    let timer: NodeJS.Timeout | undefined;
    return {
      take({ op, seq, pos = 0 }) {
        const isNew = op === 'cancel' || pos >= (taken.get(seq) ?? 0);
        if (isNew) taken.set(seq, pos + 1);
        return isNew;
      },
      output(out) {
        tail.push(out);
        if (tail.length > 2 * maxTail) {
          dropped += tail.length - maxTail;
          tail = tail.slice(-maxTail);
        }
        sender?.(out);
      },
      attach(send, after) {
        clearTimeout(timer);
        sender = send;
        tail.slice(Math.max(0, after - dropped)).forEach(send);
      },
      detach(send, graceMs) {
        if (sender !== send) return;
        sender = undefined;
        timer = setTimeout(() => {
          sessions.delete(id);
          end([...taken.keys()]);
        }, graceMs);
      },
    };
  }

  return {
    open(id) {
      const session = sessions.get(id) ?? create(id);
      sessions.set(id, session);
      return session;
    },
    has: (id) => sessions.has(id),
  };
}
