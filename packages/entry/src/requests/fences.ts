/** Cancels that this entry sent, kept for a while and sent again when a connection is resumed. */
import type { Clock } from '@verbenashunt/core';
import type { Cancel, Message } from '@verbenashunt/schema';

/** A resumed connection is younger than this. */
const retentionMs = 30_000;
const maxKeptPerNode = 2000;

type Send = (message: Message) => void;

export interface Fences {
  /** Fences a request's attempts up to this one at a node. */
  send(node: string, cancel: Cancel, send: Send | undefined): void;
  /** Sends again what the broken connection to a node may have lost. */
  resumed(node: string, send: Send | undefined): void;
}

export function createFences(clock: Clock): Fences {
  const kept = new Map<string, { at: number; cancel: Cancel }[]>();

  function fresh(node: string) {
    const limit = clock.now() - retentionMs;
    return (kept.get(node) ?? []).filter(({ at }) => at > limit);
  }

  return {
    send(node, cancel, send) {
      const list = kept.get(node) ?? [];
      list.push({ at: clock.now(), cancel });
      kept.set(node, list.length > maxKeptPerNode ? fresh(node).slice(-maxKeptPerNode / 2) : list);
      send?.(cancel);
    },
    resumed(node, send) {
      const list = fresh(node);
      if (list.length === 0) kept.delete(node);
      else kept.set(node, list);
      list.forEach(({ cancel }) => send?.(cancel));
    },
  };
}
