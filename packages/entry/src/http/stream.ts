/** Writes a streamed answer to its caller, who may read slower than it is made. */
import type { ServerResponse } from 'node:http';

export interface StreamWriter {
  write(text: string): void;
  end(text: string): void;
}

/**
 * Creates a writer that cuts the answer off once more than `maxBacklogBytes` wait to be read.
 */
export function createStreamWriter(
  res: ServerResponse,
  maxBacklogBytes: number,
  onSlowReader: () => void,
): StreamWriter {
  return {
    write(text) {
      if (res.destroyed) return;
      res.write(text);
      if (res.writableLength <= maxBacklogBytes) return;
      onSlowReader();
      res.destroy();
    },
    end(text) {
      if (!res.destroyed) res.end(text);
    },
  };
}
