/**
 * Client for streamed chats with low CPU cost: it counts tokens by searching the received bytes for
 * markers, without parsing HTTP or JSON.
 */
import { connect, type Socket } from 'node:net';

export interface StreamRequest {
  url: string;
  key: string;
  model: string;
  maxTokens: number;
  content: string;
}

const tokenMarker = Buffer.from('"delta":{"content"');
const doneMarker = Buffer.from('data: [DONE]');

function countMarkers(chunk: Buffer, marker: Buffer): number {
  let count = 0;
  for (let at = chunk.indexOf(marker); at !== -1; at = chunk.indexOf(marker, at + 1)) count += 1;
  return count;
}

function formatRequest({
  url, key, model, maxTokens, content,
}: StreamRequest): string {
  const body = JSON.stringify({
    model, stream: true, max_tokens: maxTokens, messages: [{ role: 'user', content }],
  });
  return [
    'POST /v1/chat/completions HTTP/1.1', `host: ${new URL(url).host}`, `authorization: Bearer ${key}`,
    'content-type: application/json', `content-length: ${body.length}`, '', body,
  ].join('\r\n');
}

export interface StreamClient {
  /**
   * Sends a request and resolves to whether the answer was complete. Requests must not overlap.
   */
  send(req: StreamRequest, onTokens: (count: number) => void): Promise<boolean>;
  close(): void;
}

/** Opens one connection that all requests of the client share. */
export async function openStreamClient(url: string): Promise<StreamClient> {
  const { hostname, port } = new URL(url);
  const socket: Socket = connect(Number(port), hostname);
  socket.setNoDelay(true);
  await new Promise<void>((resolve, reject) => {
    socket.once('connect', resolve);
    socket.once('error', reject);
  });
  return {
    send: (req, onTokens) => new Promise((resolve) => {
      const finish = (isComplete: boolean) => {
        socket.removeAllListeners('data');
        socket.removeAllListeners('close');
        resolve(isComplete);
      };
      let partialLine: Buffer = Buffer.alloc(0);
      socket.on('data', (chunk: Buffer) => {
        // A marker may be split across two chunks, so an incomplete line waits for the next chunk.
        const buffered = partialLine.length > 0 ? Buffer.concat([partialLine, chunk]) : chunk;
        const end = buffered.lastIndexOf('\n') + 1;
        const completeLines = buffered.subarray(0, end);
        partialLine = buffered.subarray(end);
        const tokens = countMarkers(completeLines, tokenMarker);
        if (tokens > 0) onTokens(tokens);
        if (completeLines.includes(doneMarker)) finish(true);
        else if (completeLines.includes('"error"')) finish(false);
      });
      socket.once('close', () => finish(false));
      socket.write(formatRequest(req));
    }),
    close: () => socket.destroy(),
  };
}
