/** Operation streams that a client can resume on a new connection within a grace period. */
import type { EngineOp, EngineOut } from '@verbenashunt/schema';

/** Number of latest outputs kept for resumption; trimmed to it when twice as many are held. */
const minKeptOutputs = 10_000;

export interface Session {
  /** Records an operation; returns false for a duplicate, such as one resent after a resume. */
  accept(op: EngineOp): boolean;
  /** Stores an output for resumption and sends it if a connection is attached. */
  emit(out: EngineOut): void;
  /** Sends to this connection from now on, starting after the first `after` outputs. */
  attach(send: (out: EngineOut) => void, after: number): void;
  /** Detaches a closed connection; the session expires unless resumed within `graceMs`. */
  detach(send: (out: EngineOut) => void, graceMs: number): void;
}

export interface SessionStore {
  /** Returns the session with this id; creates it if it does not exist. */
  open(id: string): Session;
  has(id: string): boolean;
}

/** Creates a store; `onExpired` receives the sequences of each session that expires. */
export function createSessionStore(
  onExpired: (sequences: readonly string[]) => void,
): SessionStore {
  const sessions = new Map<string, Session>();

  function create(id: string): Session {
    /** Lowest position that is not a duplicate, by sequence. */
    const nextPositions = new Map<string, number>();
    let keptOutputs: EngineOut[] = [];
    let droppedCount = 0;
    let currentSend: ((out: EngineOut) => void) | undefined;
    let expiryTimer: NodeJS.Timeout | undefined;
    return {
      accept({ op, seq, pos = 0 }) {
        const isNew = op === 'cancel' || pos >= (nextPositions.get(seq) ?? 0);
        if (isNew) nextPositions.set(seq, pos + 1);
        return isNew;
      },
      emit(out) {
        keptOutputs.push(out);
        if (keptOutputs.length > 2 * minKeptOutputs) {
          droppedCount += keptOutputs.length - minKeptOutputs;
          keptOutputs = keptOutputs.slice(-minKeptOutputs);
        }
        currentSend?.(out);
      },
      attach(send, after) {
        clearTimeout(expiryTimer);
        currentSend = send;
        keptOutputs.slice(Math.max(0, after - droppedCount)).forEach(send);
      },
      detach(send, graceMs) {
        if (currentSend !== send) return;
        currentSend = undefined;
        expiryTimer = setTimeout(() => {
          sessions.delete(id);
          onExpired([...nextPositions.keys()]);
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
