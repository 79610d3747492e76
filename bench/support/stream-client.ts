/** A caller of streamed chats that costs little: it counts events in the bytes of its sockets. */
import { connect, type Socket } from 'node:net';

export interface StreamRequest {
  url: string;
  key: string;
  model: string;
  maxTokens: number;
  content: string;
}

const eventMark = Buffer.from('"delta":{"content"');
const doneMark = Buffer.from('data: [DONE]');

function countOf(chunk: Buffer, mark: Buffer): number {
  let count = 0;
  for (let at = chunk.indexOf(mark); at !== -1; at = chunk.indexOf(mark, at + 1)) count += 1;
  return count;
}

function headOf({
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
  /** Sends one request after the other; resolves to whether the answer was whole. */
  send(req: StreamRequest, onTokens: (count: number) => void): Promise<boolean>;
  close(): void;
}

/** Opens one connection that is kept for all requests. */
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
      const finish = (whole: boolean) => {
        socket.removeAllListeners('data');
        socket.removeAllListeners('close');
        resolve(whole);
      };
      let tail: Buffer = Buffer.alloc(0);
      socket.on('data', (chunk: Buffer) => {
        // A mark may lie across two chunks; the rest after the last event line is kept.
        const all = tail.length > 0 ? Buffer.concat([tail, chunk]) : chunk;
        const end = all.lastIndexOf('\n') + 1;
        const ready = all.subarray(0, end);
        tail = all.subarray(end);
        const tokens = countOf(ready, eventMark);
        if (tokens > 0) onTokens(tokens);
        if (ready.includes(doneMark)) finish(true);
        else if (ready.includes('"error"')) finish(false);
      });
      socket.once('close', () => finish(false));
      socket.write(headOf(req));
    }),
    close: () => socket.destroy(),
  };
}
