/** HTTP handlers of the operator API. */
import type { IncomingMessage, ServerResponse } from 'node:http';
import {
  createRefusal, PlatformError, sha256, verifyHistory, type ConfigHolder,
} from '@verbenashunt/core';
import { validators, type Outcome } from '@verbenashunt/schema';
import { parseJson, type BodyReader } from '@verbenashunt/wire';
import type { ConfigStore } from '../config/store.js';
import type { Quarantine } from '../requests/quarantine.js';
import { sendJson } from './responses.js';
import { bearerKeyOf } from './chat.js';

export interface OperatorHandlerDeps {
  config: ConfigHolder;
  store: ConfigStore;
  readBody: BodyReader;
  quarantine: Pick<Quarantine, 'list' | 'release'>;
  bootstrapOperatorHash: string | undefined;
  /** Current state of this entry as JSON: its agents and its requests in flight. */
  state(): unknown;
}

const maxCommandBytes = 8 * 1024 * 1024;
const retryAfterSeconds = '2';
const basePath = '/operator/v1/';

/** HTTP status of an outcome. */
function statusOf({ outcome, code }: Outcome): number {
  if (outcome === 'accepted') return 200;
  if (outcome === 'unknown') return 504;
  if (code === 'platform_unavailable') return 503;
  return code === 'conflict' ? 409 : 422;
}

export function createOperatorHandlers({
  config, store, readBody, quarantine, bootstrapOperatorHash, state,
}: OperatorHandlerDeps) {
  function operatorOf(req: IncomingMessage): string {
    const hash = sha256(bearerKeyOf(req));
    const { view } = config;
    const operator = view?.operatorOf(hash);
    if (operator) return operator;
    if (!view?.hasOperators && hash === bootstrapOperatorHash) return 'bootstrap';
    throw createRefusal('unauthorized');
  }

  async function submit(req: IncomingMessage, res: ServerResponse, operator: string) {
    const command = parseJson(await readBody(req, { maxBytes: maxCommandBytes }));
    if (!validators.command(command)) {
      const issue = validators.command.errors?.[0];
      throw createRefusal('bad_request', { detail: `${issue?.instancePath} ${issue?.message}` });
    }
    const outcome = await store.submit(command, operator);
    const status = statusOf(outcome);
    if (status >= 500) res.setHeader('retry-after', retryAfterSeconds);
    sendJson(res, status, { commandId: command.commandId, ...outcome });
  }

  async function showCommand(res: ServerResponse, commandId: string) {
    const record = await store.resolveCommand(commandId);
    if (!record) throw createRefusal('not_found', { detail: `command ${commandId}` });
    sendJson(res, 200, record);
  }

  async function history(res: ServerResponse) {
    const { records, head } = await store.history();
    const fault = verifyHistory(records, head);
    sendJson(res, 200, {
      records: records.map((text) => JSON.parse(text) as unknown),
      ...(fault ? { fault } : {}),
    });
  }

  async function release(res: ServerResponse, fingerprint: string, operator: string) {
    const released = await quarantine.release(fingerprint, operator);
    if (!released) throw createRefusal('not_found', { detail: `fingerprint ${fingerprint}` });
    sendJson(res, 200, { fingerprint, state: 'released' });
  }

  /** GET handlers by the first path segment; each is passed the second one. */
  const readHandlers: Record<string, (res: ServerResponse, rest: string) => unknown> = {
    state: (res) => sendJson(res, 200, state()),
    config: (res) => sendJson(res, 200, {
      revision: config.revision,
      items: [...config.items].map(([item, value]) => ({ item, value })),
    }),
    history,
    quarantine: (res) => sendJson(res, 200, { fingerprints: quarantine.list() }),
    commands: async (res, id) => (id
      ? showCommand(res, id)
      : sendJson(res, 200, { commands: await store.commands() })),
  };

  return {
    async operators(req: IncomingMessage, res: ServerResponse) {
      const operator = operatorOf(req);
      const path = new URL(req.url ?? '/', 'http://entry').pathname.slice(basePath.length);
      const [name = '', rest = ''] = path.split('/').map(decodeURIComponent);
      const handleRead = readHandlers[name];
      try {
        if (req.method === 'POST' && name === 'commands') await submit(req, res, operator);
        else if (req.method === 'POST' && name === 'quarantine') await release(res, rest, operator);
        else if (req.method === 'GET' && handleRead) await handleRead(res, rest);
        else throw createRefusal('not_found', { detail: path });
      } catch (err) {
        if (err instanceof PlatformError) throw createRefusal('platform_unavailable');
        throw err;
      }
    },
  };
}
