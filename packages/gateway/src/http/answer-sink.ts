/** Adapts the HTTP response to a caller to the sink that a request run writes its answer to. */
import type { ServerResponse } from 'node:http';
import {
  abortResponse, acceptsChunks, endByClosing, openStream,
} from '@verbenashunt/wire';
import type { CallerProtocol } from '../ports.js';
import type { AnswerSink } from '../requests/spec.js';

/** Maximum number of bytes of an answer that are buffered for a slow caller. */
const maxBacklogBytes = 1024 * 1024;

export function createAnswerSink(
  res: ServerResponse,
  callers: CallerProtocol,
  requestId: string,
): AnswerSink {
  return {
    sendWhole({
      status, headers, body, isFramed,
    }) {
      if (res.destroyed) return;
      const responseHeaders = callers.answerHeaders(headers);
      if (isFramed) res.writeHead(status, { ...responseHeaders, 'content-length': body.length });
      else endByClosing(res).writeHead(status, responseHeaders);
      res.end(body);
    },
    open({ status, headers }) {
      return openStream(res, {
        status, headers: callers.answerHeaders(headers), encoding: 'latin1',
      }, maxBacklogBytes, () => {});
    },
    refuse(refusal) {
      if (!res.destroyed) callers.refuse(res, refusal, requestId);
    },
    cutOff() {
      // The missing last chunk shows the break; without chunks only a reset does.
      if (acceptsChunks(res)) res.destroy();
      else abortResponse(res);
    },
  };
}
