/** POST /v1/chat/completions, answered as server-sent events or as one JSON object. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  ByteTokenizer, createRefusal, refusalBody, sha256,
} from '@verbenashunt/core';
import { validators, type ChatRequest } from '@verbenashunt/schema';
import {
  openStream, parseJson, type StreamHead, type StreamWriter,
} from '@verbenashunt/wire';
import type { GenerationSink } from '../requests/generation.js';
import { sendJson, sendRefusal } from './responses.js';

const tokenizer = new ByteTokenizer();

/** Parses and validates the body of a chat request. Throws a refusal if it is invalid. */
export function parseChat(body: Buffer): ChatRequest {
  const chat = parseJson(body);
  if (validators.chatRequest(chat)) return chat;
  const issue = validators.chatRequest.errors?.[0];
  throw createRefusal('bad_request', { detail: `${issue?.instancePath || 'body'} ${issue?.message}` });
}

/** Tokens of the prompt, which is all messages in order. */
export const promptTokensOf = ({ messages }: ChatRequest) => tokenizer.encode(
  messages.map(({ role, content }) => `${role}: ${content}\n`).join(''),
);

/** Length of the id of a part in hexadecimal digits: 64 bits. */
const partIdLength = 16;

/**
 * Ids of the parts of the prompt that other requests may share: of each message but the last one,
 * which is the request's own.
 */
export const sharedPartsOf = ({ model, messages }: ChatRequest) => messages.slice(0, -1)
  .map(({ role, content }) => sha256(`${model}\n${role}: ${content}`).slice(0, partIdLength));

const eventStreamHead: StreamHead = {
  status: 200,
  headers: { 'content-type': 'text/event-stream', 'cache-control': 'no-cache' },
  encoding: 'utf8',
};

interface ChatResponse {
  id: string;
  model: string;
  createdSeconds: number;
  promptTokens: number;
}

export interface StreamLimits {
  /** Maximum number of bytes of a response that are buffered while its caller does not read. */
  maxBacklogBytes: number;
  /** Called when a response was aborted because it exceeded that limit. */
  onSlowReader(): void;
}

function createStreamingSink(
  res: ServerResponse,
  response: ChatResponse,
  limits: StreamLimits,
): GenerationSink {
  let writer: StreamWriter | undefined;
  const decode = tokenizer.createDecoder();
  const chunkPrefix = JSON.stringify({
    id: response.id, object: 'chat.completion.chunk', created: response.createdSeconds, model: response.model,
  }).slice(0, -1);
  const chunk = (delta: string, reason: string) => `data: ${chunkPrefix},"choices":[{"index":0,"delta":${delta},"finish_reason":${reason}}]}\n\n`;
  const openWriter = () => {
    writer ??= openStream(res, eventStreamHead, limits.maxBacklogBytes, limits.onSlowReader);
    return writer;
  };
  return {
    token(token) {
      openWriter().write(chunk(`{"content":${JSON.stringify(decode(token))}}`, 'null'));
    },
    end(reason) {
      openWriter().end(`${chunk('{}', `"${reason}"`)}data: [DONE]\n\n`);
    },
    refuse(refusal) {
      // After the first token the status has been sent, so an error event reports the refusal.
      if (writer) writer.end(`event: error\ndata: ${JSON.stringify(refusalBody(refusal, response.id))}\n\n`);
      else sendRefusal(res, refusal, response.id);
    },
  };
}

function createBufferedSink(res: ServerResponse, response: ChatResponse): GenerationSink {
  const decode = tokenizer.createDecoder();
  let text = '';
  let tokenCount = 0;
  return {
    token(token) {
      text += decode(token);
      tokenCount += 1;
    },
    end(reason) {
      sendJson(res, 200, {
        id: response.id,
        object: 'chat.completion',
        created: response.createdSeconds,
        model: response.model,
        choices: [{ index: 0, message: { role: 'assistant', content: text }, finish_reason: reason }],
        usage: {
          prompt_tokens: response.promptTokens,
          completion_tokens: tokenCount,
          total_tokens: response.promptTokens + tokenCount,
        },
      });
    },
    refuse: (refusal) => sendRefusal(res, refusal, response.id),
  };
}

/** Creates the sink that writes the output of a generation to its caller. */
export const createChatSink = (
  res: ServerResponse,
  response: ChatResponse,
  stream: boolean,
  limits: StreamLimits,
): GenerationSink => (stream
  ? createStreamingSink(res, response, limits)
  : createBufferedSink(res, response));

/** Bearer key of a request. Throws a refusal if it has none. */
export function bearerKeyOf(req: IncomingMessage): string {
  const match = /^Bearer (.+)$/i.exec(req.headers.authorization ?? '');
  if (!match) throw createRefusal('unauthorized');
  return match[1]!;
}
