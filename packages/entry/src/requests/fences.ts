/** Sends cancels to agents and resends recent ones after a connection was replaced. */
import type { Clock } from '@verbenashunt/core';
import type { Cancel, Message } from '@verbenashunt/schema';

/** Longer than the time in which a broken connection can be resumed. */
const retentionMs = 30_000;
const maxCancelsPerNode = 2000;

type Send = (message: Message) => void;

export interface Fences {
  /** Fences a request's attempts up to the given one, so that the node no longer runs them. */
  send(node: string, cancel: Cancel, send: Send | undefined): void;
  /** Resends the cancels that the broken connection to a node may have lost. */
  resend(node: string, send: Send | undefined): void;
}

export function createFences(clock: Clock): Fences {
  const cancelsByNode = new Map<string, { at: number; cancel: Cancel }[]>();

  function recentCancels(node: string) {
    const oldestAt = clock.now() - retentionMs;
    return (cancelsByNode.get(node) ?? []).filter(({ at }) => at > oldestAt);
  }

  return {
    send(node, cancel, send) {
      const cancels = cancelsByNode.get(node) ?? [];
      cancels.push({ at: clock.now(), cancel });
      cancelsByNode.set(node, cancels.length > maxCancelsPerNode
        ? recentCancels(node).slice(-maxCancelsPerNode / 2)
        : cancels);
      send?.(cancel);
    },
    resend(node, send) {
      const cancels = recentCancels(node);
      if (cancels.length === 0) cancelsByNode.delete(node);
      else cancelsByNode.set(node, cancels);
      cancels.forEach(({ cancel }) => send?.(cancel));
    },
  };
}
