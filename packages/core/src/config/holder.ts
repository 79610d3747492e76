/** The newest configuration that this process has seen. It never goes back. */
import { validators } from '@verbenashunt/schema';
import { ProtocolError } from '../errors/errors.js';
import { createConfigView, type ConfigView } from './view.js';

export interface ConfigHolder {
  readonly revision: number;
  readonly view: ConfigView | undefined;
  /** Canonical JSON of the record in force. */
  readonly record: string | undefined;
  /** Takes a record when newer; returns whether it was. Throws ProtocolError when not valid. */
  offer(record: string): boolean;
}

/** Creates a holder; `onAdopted` is called after each step forward. */
export function createConfigHolder(onAdopted: (view: ConfigView) => void): ConfigHolder {
  let view: ConfigView | undefined;
  let record: string | undefined;
  return {
    get revision() {
      return view?.revision ?? 0;
    },
    get view() {
      return view;
    },
    get record() {
      return record;
    },
    offer(text) {
      const parsed: unknown = JSON.parse(text);
      if (!validators.revisionRecord(parsed)) {
        throw new ProtocolError('the configuration record does not match its schema');
      }
      if (parsed.revision <= (view?.revision ?? 0)) return false;
      view = createConfigView(parsed);
      record = text;
      onAdopted(view);
      return true;
    },
  };
}
