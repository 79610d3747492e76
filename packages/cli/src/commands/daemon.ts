/** Commands that run a daemon in the foreground. */
import { Command, Option } from 'clipanion';
import { pino, type Logger } from 'pino';
import { createAgent } from '@verbenashunt/agent';
import { SettingsError } from '@verbenashunt/core';
import { createEntry } from '@verbenashunt/entry';
import { settingsSchema, validators, type Validator } from '@verbenashunt/schema';
import {
  envName, flagName, describeRange, type SettingsSchema,
} from '../settings/names.js';
import { resolveSettings } from '../settings/resolve.js';
import { loadPems } from '../settings/pem.js';

/** Exit code for invalid settings or arguments. */
export const usageExitCode = 2;

/** Exit code of a daemon that stopped before all of its requests had ended. */
const interruptedExitCode = 1;

interface Daemon {
  /**
   * Stops once all requests have ended, or at once if `forceStop` aborts. Resolves to whether all
   * requests ran to their end.
   */
  stop(forceStop: AbortSignal): Promise<boolean>;
  /** Listening ports, printed to standard output once the daemon is ready. */
  ready: Record<string, number>;
}

interface DaemonSpec<T> {
  name: string;
  description: string;
  schema: SettingsSchema;
  validator: Validator<T>;
  start(cfg: T, log: Logger): Promise<Daemon>;
}

/** Resolves at the first SIGTERM or SIGINT; a second one aborts `forceStop`. */
function waitForStopSignal(forceStop: AbortController): Promise<void> {
  return new Promise((resolve) => {
    let signals = 0;
    const onSignal = () => {
      signals += 1;
      if (signals === 1) resolve();
      else forceStop.abort();
    };
    process.on('SIGTERM', onSignal);
    process.on('SIGINT', onSignal);
  });
}

function createDaemonCommand<T extends { logLevel?: string }>(spec: DaemonSpec<T>) {
  const settingNames = Object.keys(spec.schema.properties);
  return class extends Command {
    static override paths = [[spec.name]];

    static override usage = Command.Usage({
      category: 'Daemons',
      description: spec.description,
      details: 'Each setting has a flag and an environment variable; the flag takes precedence.',
    });

    [setting: `setting_${string}`]: string | undefined;

    constructor() {
      super();
      settingNames.forEach((name) => {
        const property = spec.schema.properties[name]!;
        const defaultText = property.default === undefined ? '' : ` Default ${property.default}.`;
        this[`setting_${name}`] = Option.String(flagName(name), {
          description: `${property.description} Takes ${describeRange(property)}.${defaultText} [${envName(name)}]`,
        });
      });
    }

    async execute() {
      const flags = Object.fromEntries(settingNames.map((name) => [name, this[`setting_${name}`]]));
      try {
        const cfg = await loadPems(
          resolveSettings(spec.schema, spec.validator, flags, process.env),
        );
        const log = pino({ level: cfg.logLevel ?? 'info', name: spec.name }, pino.destination(2));
        const daemon = await spec.start(cfg, log);
        this.context.stdout.write(`${JSON.stringify({ ready: daemon.ready })}\n`);
        const forceStop = new AbortController();
        await waitForStopSignal(forceStop);
        return await daemon.stop(forceStop.signal) ? 0 : interruptedExitCode;
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
  description: 'Run an entry, which serves callers and operators.',
  schema: settingsSchema.$defs.EntrySettings,
  validator: validators.entrySettings,
  async start(cfg, log) {
    const entry = await createEntry(cfg, { log });
    return { stop: entry.stop, ready: { httpPort: entry.httpPort, peerPort: entry.peerPort } };
  },
});

export const AgentCommand = createDaemonCommand({
  name: 'agent',
  description: 'Run an agent, which passes requests to the target on its VM.',
  schema: settingsSchema.$defs.AgentSettings,
  validator: validators.agentSettings,
  async start(cfg, log) {
    const agent = await createAgent(cfg, { log });
    return { stop: agent.stop, ready: { peerPort: agent.peerPort, httpPort: agent.httpPort } };
  },
});
