/** Updates two connected processes to the newer of their configurations. */
import type { Message } from '@verbenashunt/schema';
import type { ConfigHolder } from './holder.js';

export type SendMessage = (message: Message) => void;

export interface ConfigSynchronizer {
  /** Sends the peer the updates that it lacks, or requests those that this process lacks. */
  onPeerRevision(revision: number, send: SendMessage): void;
  /**
   * Handles any message from a peer. Every message that carries a revision other than this
   * process's own starts an exchange of updates.
   */
  receive(message: Message, send: SendMessage): void;
}

const revisionOf = (message: Message) => ('revision' in message ? message.revision : undefined);

export function createConfigSynchronizer(config: ConfigHolder): ConfigSynchronizer {
  const configMessage = (record: string): Message => ({
    t: 'config', revision: config.revision, record,
  });

  function onPeerRevision(revision: number, send: SendMessage) {
    if (revision > config.revision) send({ t: 'configAsk', revision: config.revision });
    else config.updatesSince(revision).forEach((text) => send(configMessage(text)));
  }

  function adopt(record: string, revision: number, send: SendMessage) {
    if (config.offer(record) !== 'gap') return;
    // The records between are requested first. If the record after the revision in force does not
    // fit either, the items differ and the whole state is requested.
    const whole = revision === config.revision + 1;
    send({ t: 'configAsk', revision: config.revision, ...(whole ? { whole } : {}) });
  }

  function answerAsk(revision: number, whole: boolean | undefined, send: SendMessage) {
    const state = whole ? config.stateText() : undefined;
    if (state !== undefined && config.revision > revision) send(configMessage(state));
    else if (config.revision > revision) onPeerRevision(revision, send);
  }

  return {
    onPeerRevision,
    receive(message, send) {
      if (message.t === 'config') adopt(message.record, message.revision, send);
      else if (message.t === 'configAsk') answerAsk(message.revision, message.whole, send);
      else {
        const revision = revisionOf(message);
        if (revision !== undefined && revision !== config.revision) onPeerRevision(revision, send);
      }
    },
  };
}
