/** Which messages a role may not send: work is given out by entries alone. */
import { ProtocolError } from '@verbenashunt/core';
import type { Hello, Message } from '@verbenashunt/schema';

const entryOnly: ReadonlySet<Message['t']> = new Set(['offer', 'start', 'call', 'resume', 'leave']);
const agentOnly: ReadonlySet<Message['t']> = new Set(['state', 'accept', 'token', 'end', 'result']);

/** The fault of a message that its sender's role may not send, or of a second hello. */
export function foreignMessage(role: Hello['role'], { t }: Message): Error | undefined {
  const barred = role === 'agent' ? entryOnly : agentOnly;
  if (t !== 'hello' && !barred.has(t)) return undefined;
  return new ProtocolError(`a peer of role ${role} sent ${t}`, { props: { code: 'wrong_role' } });
}
