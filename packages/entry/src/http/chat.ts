/** POST /v1/chat/completions, streamed by server-sent events or whole. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { ByteTokenizer, createRefusal, refusalBody } from '@verbenashunt/core';
import { validators, type ChatRequest } from '@verbenashunt/schema';
import {
  openStream, parseJson, type StreamHead, type StreamWriter,
} from '@verbenashunt/wire';
import type { GenerationSink } from '../requests/generation.js';
import { sendJson, sendRefusal } from './answers.js';

const tokenizer = new ByteTokenizer();

/** Checks the body of a chat request. */
export function parseChat(body: Buffer): ChatRequest {
  const chat = parseJson(body);
  if (validators.chatRequest(chat)) return chat;
  const issue = validators.chatRequest.errors?.[0];
  throw createRefusal('bad_request', { detail: `${issue?.instancePath || 'body'} ${issue?.message}` });
}

/** Prompt tokens of the messages in order. */
export const promptOf = ({ messages }: ChatRequest) => tokenizer.encode(
  messages.map(({ role, content }) => `${role}: ${content}\n`).join(''),
);

const eventStreamHead: StreamHead = {
  status: 200,
  headers: { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' },
  encoding: 'utf8',
};

interface ChatAnswer {
  id: string;
  model: string;
  createdSeconds: number;
  promptTokens: number;
}

export interface StreamBounds {
  /** Bytes of an answer that its caller may leave unread. */
  maxBacklogBytes: number;
  /** The answer was cut off for that. */
  onSlowReader(): void;
}

function streamedSink(
  res: ServerResponse,
  answer: ChatAnswer,
  bounds: StreamBounds,
): GenerationSink {
  let writer: StreamWriter | undefined;
  const decode = tokenizer.createDecoder();
  const head = JSON.stringify({
    id: answer.id, object: 'chat.completion.chunk', created: answer.createdSeconds, model: answer.model,
  }).slice(0, -1);
  const chunk = (delta: string, reason: string) => `data: ${head},"choices":[{"index":0,"delta":${delta},"finish_reason":${reason}}]}\n\n`;
  const open = () => {
    writer ??= openStream(res, eventStreamHead, bounds.maxBacklogBytes, bounds.onSlowReader);
    return writer;
  };
  return {
    token(token) {
      open().write(chunk(`{"content":${JSON.stringify(decode(token))}}`, 'null'));
    },
    end(reason) {
      open().end(`${chunk('{}', `"${reason}"`)}data: [DONE]\n\n`);
    },
    refuse(refusal) {
      // After the first token the status line is gone; the error event takes its place.
      if (writer) writer.end(`event: error\ndata: ${JSON.stringify(refusalBody(refusal, answer.id))}\n\n`);
      else sendRefusal(res, refusal, answer.id);
    },
  };
}

function wholeSink(res: ServerResponse, answer: ChatAnswer): GenerationSink {
  const decode = tokenizer.createDecoder();
  let text = '';
  let count = 0;
  return {
    token(token) {
      text += decode(token);
      count += 1;
    },
    end(reason) {
      sendJson(res, 200, {
        id: answer.id,
        object: 'chat.completion',
        created: answer.createdSeconds,
        model: answer.model,
        choices: [{ index: 0, message: { role: 'assistant', content: text }, finish_reason: reason }],
        usage: {
          prompt_tokens: answer.promptTokens,
          completion_tokens: count,
          total_tokens: answer.promptTokens + count,
        },
      });
    },
    refuse: (refusal) => sendRefusal(res, refusal, answer.id),
  };
}

/** Writes the answer of a generation to its caller. */
export const createChatSink = (
  res: ServerResponse,
  answer: ChatAnswer,
  stream: boolean,
  bounds: StreamBounds,
): GenerationSink => (stream ? streamedSink(res, answer, bounds) : wholeSink(res, answer));

/** Bearer key of a request; refuses one without. */
export function bearerOf(req: IncomingMessage): string {
  const match = /^Bearer (.+)$/i.exec(req.headers.authorization ?? '');
  if (!match) throw createRefusal('unauthorized');
  return match[1]!;
}
