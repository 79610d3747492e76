/** Routes of the relay server on which other entries send their loads. */
import type { IncomingMessage } from 'node:http';
import type { Protocol, Service } from 'restana';
import { ProtocolError } from '@verbenashunt/core';
import { isBodyUnread, type BodyReader } from '@verbenashunt/wire';
import type { LoadKeeper, DropReason } from './load-keeper.js';
import {
  decodeReport, decodeZoneLoads, encodeLoads, maxLoadBytes,
} from './load-messages.js';

/** Path under which an entry takes reports of loads. */
export const loadPath = '/loads';
/** Path under which an entry takes the sums of other zones. */
export const zoneLoadPath = '/zone-loads';

const statusOk = 200;
const statusNoContent = 204;
const statusBadRequest = 400;
const statusConflict = 409;
const statusUnavailable = 503;

/** What the routes need; undefined while the entry starts. */
export interface LoadReceiver {
  keeper: Pick<LoadKeeper, 'receive' | 'receiveZone'>;
  received(bytes: number): void;
  dropped(reason: DropReason): void;
}

interface Reply {
  status: number;
  body?: Buffer | undefined;
}

type LoadHandler = (body: Buffer, receiver: LoadReceiver) => Reply;

function answerReport(body: Buffer, { keeper }: LoadReceiver): Reply {
  const answer = keeper.receive(decodeReport(body));
  return answer ? { status: statusOk, body: encodeLoads(answer) } : { status: statusConflict };
}

function answerZoneLoads(body: Buffer, { keeper }: LoadReceiver): Reply {
  keeper.receiveZone(decodeZoneLoads(body));
  return { status: statusNoContent };
}

const handlers: Readonly<Record<string, LoadHandler>> = {
  [loadPath]: answerReport, [zoneLoadPath]: answerZoneLoads,
};

/** Adds the routes to a server. */
export function addLoadRoutes(
  app: Pick<Service<Protocol.HTTP>, 'post'>,
  readBody: BodyReader,
  receiver: () => LoadReceiver | undefined,
) {
  async function reply(req: IncomingMessage, handle: LoadHandler): Promise<Reply> {
    const to = receiver();
    if (!to) return { status: statusUnavailable };
    try {
      const body = await readBody(req, { maxBytes: maxLoadBytes });
      to.received(body.length);
      return handle(body, to);
    } catch (err) {
      // The reader rejects a body that is too large or broke off.
      to.dropped('malformed');
      return { status: err instanceof ProtocolError ? statusBadRequest : statusConflict };
    }
  }

  Object.entries(handlers).forEach(([path, handle]) => {
    app.post(path, async (req, res) => {
      const { status, body } = await reply(req, handle);
      res.statusCode = status;
      if (isBodyUnread(req)) res.setHeader('connection', 'close');
      res.setHeader('content-length', body?.length ?? 0);
      res.end(body);
    });
  });
}
