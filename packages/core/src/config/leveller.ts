/** Brings two connected processes to the newer of their configurations. */
import type { Message } from '@verbenashunt/schema';
import type { ConfigHolder } from './holder.js';

export type SendMessage = (message: Message) => void;

export interface Leveller {
  /** A peer told its revision: sends what it lacks, or asks for what this process lacks. */
  heard(revision: number, send: SendMessage): void;
  /** Takes any message from a peer; each one that carries a revision is a chance to level. */
  receive(message: Message, send: SendMessage): void;
}

const revisionOf = (message: Message) => ('revision' in message ? message.revision : undefined);

export function createLeveller(config: ConfigHolder): Leveller {
  const configMessage = (record: string): Message => ({
    t: 'config', revision: config.revision, record,
  });

  function heard(revision: number, send: SendMessage) {
    if (revision > config.revision) send({ t: 'configAsk', revision: config.revision });
    else config.textsSince(revision).forEach((text) => send(configMessage(text)));
  }

  function adopt(record: string, revision: number, send: SendMessage) {
    if (config.offer(record) !== 'gap') return;
    // Records between are missing at first; when they do not fit either, the state is asked for.
    const whole = revision === config.revision + 1;
    send({ t: 'configAsk', revision: config.revision, ...(whole ? { whole } : {}) });
  }

  function answer(revision: number, whole: boolean | undefined, send: SendMessage) {
    const state = whole ? config.stateText() : undefined;
    if (state !== undefined && config.revision > revision) send(configMessage(state));
    else if (config.revision > revision) heard(revision, send);
  }

  return {
    heard,
    receive(message, send) {
      if (message.t === 'config') adopt(message.record, message.revision, send);
      else if (message.t === 'configAsk') answer(message.revision, message.whole, send);
      else {
        const revision = revisionOf(message);
        if (revision !== undefined && revision !== config.revision) heard(revision, send);
      }
    },
  };
}
