/** Message types that a role may not send: only entries assign work, only agents report on it. */
import { ProtocolError } from '@verbenashunt/core';
import type { Hello, Message } from '@verbenashunt/schema';

const entryOnlyTypes: ReadonlySet<Message['t']> = new Set(['offer', 'start', 'call', 'resume', 'leave']);
const agentOnlyTypes: ReadonlySet<Message['t']> = new Set(['state', 'accept', 'token', 'end', 'result']);

/** Returns an error if the sender's role may not send the message, or if it is a second hello. */
export function roleViolation(role: Hello['role'], { t }: Message): Error | undefined {
  const forbidden = role === 'agent' ? entryOnlyTypes : agentOnlyTypes;
  if (t !== 'hello' && !forbidden.has(t)) return undefined;
  return new ProtocolError(`a peer with role ${role} sent an unexpected ${t} message`, { props: { code: 'wrong_role' } });
}
