/** The daemons as foreground commands. */
import { Command, Option } from 'clipanion';
import { pino, type Logger } from 'pino';
import { createAgent } from '@verbenashunt/agent';
import { SettingsError } from '@verbenashunt/core';
import { createEntry } from '@verbenashunt/entry';
import { settingsSchema, validators, type Validator } from '@verbenashunt/schema';
import {
  envOf, flagOf, rangeOf, type SettingsSchema,
} from '../settings/names.js';
import { resolveSettings } from '../settings/resolve.js';
import { loadPems } from '../settings/pem.js';

/** Exit code for a call that is wrong in its settings or arguments. */
export const usageExitCode = 2;

/** Exit code of a daemon that ended before its requests did. */
const cutShortExitCode = 1;

interface Daemon {
  /** Stops gracefully; resolves to whether all requests ran to their end. */
  stop(hurry: AbortSignal): Promise<boolean>;
  /** What is printed on standard output once the daemon serves. */
  ready: Record<string, number>;
}

interface DaemonSpec<T> {
  name: string;
  description: string;
  schema: SettingsSchema;
  validator: Validator<T>;
  start(cfg: T, log: Logger): Promise<Daemon>;
}

/** Resolves at the first signal to stop; a second one aborts `hurry`. */
function stopSignal(hurry: AbortController): Promise<void> {
  return new Promise((resolve) => {
    let signals = 0;
    const count = () => {
      signals += 1;
      if (signals === 1) resolve();
      else hurry.abort();
    };
    process.on('SIGTERM', count);
    process.on('SIGINT', count);
  });
}

function createDaemonCommand<T extends { logLevel?: string }>(spec: DaemonSpec<T>) {
  const names = Object.keys(spec.schema.properties);
  return class extends Command {
    static override paths = [[spec.name]];

    static override usage = Command.Usage({
      category: 'Daemons',
      description: spec.description,
      details: 'Every setting is a flag and an environment variable; a flag goes before the variable.',
    });

    [setting: `setting_${string}`]: string | undefined;

    constructor() {
      super();
      names.forEach((name) => {
        const property = spec.schema.properties[name]!;
        const fallback = property.default === undefined ? '' : ` Default ${property.default}.`;
        this[`setting_${name}`] = Option.String(flagOf(name), {
          description: `${property.description} Takes ${rangeOf(property)}.${fallback} [${envOf(name)}]`,
        });
      });
    }

    async execute() {
      const flags = Object.fromEntries(names.map((name) => [name, this[`setting_${name}`]]));
      try {
        const cfg = await loadPems(
          resolveSettings(spec.schema, spec.validator, flags, process.env),
        );
        const log = pino({ level: cfg.logLevel ?? 'info', name: spec.name }, pino.destination(2));
        const daemon = await spec.start(cfg, log);
        this.context.stdout.write(`${JSON.stringify({ ready: daemon.ready })}\n`);
        const hurry = new AbortController();
        await stopSignal(hurry);
        return await daemon.stop(hurry.signal) ? 0 : cutShortExitCode;
      } catch (err) {
        if (!(err instanceof SettingsError)) throw err;
        this.context.stderr.write(`${err.message}\n`);
        return usageExitCode;
      }
    }
  };
}

export const EntryCommand = createDaemonCommand({
  name: 'entry',
  description: 'Serve callers and operators on an entry VM.',
  schema: settingsSchema.$defs.EntrySettings,
  validator: validators.entrySettings,
  async start(cfg, log) {
    const entry = await createEntry(cfg, { log });
    return { stop: entry.stop, ready: { httpPort: entry.httpPort, peerPort: entry.peerPort } };
  },
});

export const AgentCommand = createDaemonCommand({
  name: 'agent',
  description: 'Serve as the only voice to the target on this VM.',
  schema: settingsSchema.$defs.AgentSettings,
  validator: validators.agentSettings,
  async start(cfg, log) {
    const agent = await createAgent(cfg, { log });
    return { stop: agent.stop, ready: { peerPort: agent.peerPort, httpPort: agent.httpPort } };
  },
});
