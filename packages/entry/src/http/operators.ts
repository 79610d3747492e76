/** The operators' API of an entry. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  ConflictError, createRefusal, PlatformError, sha256, type ConfigHolder,
} from '@verbenashunt/core';
import { validators } from '@verbenashunt/schema';
import type { ConfigStore } from '../config/store.js';
import { sendJson } from './answers.js';
import { parseJson, type BodyReader } from './body.js';
import { bearerOf } from './chat.js';

export interface OperatorDeps {
  config: ConfigHolder;
  store: ConfigStore;
  readBody: BodyReader;
  bootstrapOperatorHash: string | undefined;
  wall(): number;
  /** A record was committed and is to be spread. */
  committed(record: string): void;
  /** The state that `query` shows. */
  state(): unknown;
}

const maxDeclarationBytes = 8 * 1024 * 1024;

export function createOperatorHandlers(deps: OperatorDeps) {
  function operatorOf(req: IncomingMessage): string {
    const hash = sha256(bearerOf(req));
    const { view } = deps.config;
    const named = view?.operatorOf(hash);
    if (named) return named;
    if (!view?.hasOperators && hash === deps.bootstrapOperatorHash) return 'bootstrap';
    throw createRefusal('unauthorized');
  }

  return {
    async apply(req: IncomingMessage, res: ServerResponse) {
      const operator = operatorOf(req);
      const body = parseJson(await deps.readBody(req, maxDeclarationBytes));
      const { declarations, baseRevision, commandId } = body as Record<string, unknown>;
      if (!validators.declarations(declarations)) {
        const issue = validators.declarations.errors?.[0];
        throw createRefusal('bad_request', { detail: `${issue?.instancePath} ${issue?.message}` });
      }
      try {
        const record = await deps.store.commit({
          operator, commandId: String(commandId), baseRevision: Number(baseRevision), declarations,
        }, deps.wall());
        deps.committed(record);
        sendJson(res, 200, { outcome: 'accepted', revision: deps.config.revision });
      } catch (err) {
        if (err instanceof ConflictError) sendJson(res, 409, { outcome: 'refused', code: err.code, message: err.message });
        else if (err instanceof PlatformError) sendJson(res, 503, { outcome: 'unknown', code: err.code, message: err.message });
        else throw err;
      }
    },
    async query(req: IncomingMessage, res: ServerResponse) {
      operatorOf(req);
      sendJson(res, 200, deps.state());
    },
  };
}
