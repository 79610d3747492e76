/** Command line that runs one stand-in in the foreground and prints its address as JSON. */
import {
  Builtins, Cli, Command, Option,
} from 'clipanion';
import { startEngine } from './engine/engine.js';
import type { StandIn } from './http/server.js';
import { startLink } from './link/link.js';
import { startPlatform } from './platform/platform.js';
import { startService } from './service/service.js';

async function printUrlAndWait(started: Promise<StandIn>) {
  const { url } = await started;
  process.stdout.write(`${JSON.stringify({ ready: url })}\n`);
  await new Promise(() => {});
}

abstract class StandInCommand extends Command {
  host = Option.String('--host', '127.0.0.1', { description: 'Address to listen on.' });

  port = Option.String('--port', '0', { description: 'Port to listen on; 0 picks one.' });

  protected get address() {
    return { host: this.host, port: Number(this.port) };
  }
}

class PlatformCommand extends StandInCommand {
  static override paths = [['platform']];

  static override usage = Command.Usage({ description: 'Platform with tables, objects, model weights and a VM list.' });

  execute() {
    return printUrlAndWait(startPlatform({ ...this.address, vms: [] }));
  }
}

class ServiceCommand extends StandInCommand {
  static override paths = [['service']];

  static override usage = Command.Usage({ description: 'HTTP service without a model.' });

  execute() {
    return printUrlAndWait(startService(this.address));
  }
}

class EngineCommand extends StandInCommand {
  static override paths = [['engine']];

  static override usage = Command.Usage({ description: 'Model engine that serves a range of layers.' });

  model = Option.String('--model', 'rankings');

  version = Option.String('--model-version', 'v1');

  lo = Option.String('--lo', '0');

  hi = Option.String('--hi', '0', { description: 'End of the layer range, exclusive; 0 loads nothing.' });

  layers = Option.String('--layers', '12');

  kind = Option.String('--kind', 'a100');

  layerMs = Option.String('--layer-ms', '0');

  prefillMs = Option.String('--prefill-ms', '0');

  memoryLayers = Option.String('--memory-layers', '64');

  maxBatch = Option.String('--max-batch', '64');

  batchShare = Option.String('--batch-share', '0.02');

  loadLagMs = Option.String('--load-lag-ms', '500');

  cacheBlocks = Option.String('--cache-blocks', '1024');

  cacheEventDelayMs = Option.String('--cache-event-delay-ms', '500');

  cacheEventGapEvery = Option.String('--cache-event-gap-every', '17');

  loadMsPerLayer = Option.String('--load-ms-per-layer', '5');

  resumeGraceMs = Option.String('--resume-grace-ms', '2000');

  checksFencing = Option.Boolean('--checks-fencing', false);

  execute() {
    const range = {
      model: this.model,
      version: this.version,
      lo: Number(this.lo),
      hi: Number(this.hi),
      layers: Number(this.layers),
    };
    return printUrlAndWait(startEngine({
      ...this.address,
      accelerator: {
        kind: this.kind,
        layerMsPerToken: Number(this.layerMs),
        layerMsPerPrefillToken: Number(this.prefillMs),
        memoryLayers: Number(this.memoryLayers),
      },
      loaded: range.hi > 0 ? [range] : [],
      checksFencing: this.checksFencing,
      maxBatch: Number(this.maxBatch),
      batchShare: Number(this.batchShare),
      loadLagMs: Number(this.loadLagMs),
      cacheBlocks: Number(this.cacheBlocks),
      cacheEventDelayMs: Number(this.cacheEventDelayMs),
      cacheEventGapEvery: Number(this.cacheEventGapEvery),
      loadMsPerLayer: Number(this.loadMsPerLayer),
      resumeGraceMs: Number(this.resumeGraceMs),
    }));
  }
}

class LinkCommand extends StandInCommand {
  static override paths = [['link']];

  static override usage = Command.Usage({ description: 'TCP proxy that adds delay and limits bandwidth.' });

  target = Option.String('--target', { required: true, description: 'Address to forward to, as host:port.' });

  delayMs = Option.String('--delay-ms', '0', { description: 'One-way delay in milliseconds.' });

  bandwidth = Option.String('--bandwidth', '0', { description: 'Bytes per second in each direction; 0 is unlimited.' });

  async execute() {
    const [targetHost, targetPort] = this.target.split(':') as [string, string];
    const link = await startLink({
      ...this.address,
      targetHost,
      targetPort: Number(targetPort),
      delayMs: Number(this.delayMs),
      bytesPerSecond: Number(this.bandwidth),
      silent: false,
    });
    process.stdout.write(`${JSON.stringify({ ready: { port: link.port, controlUrl: link.controlUrl } })}\n`);
    await new Promise(() => {});
  }
}

const cli = new Cli({ binaryName: 'verbenashunt-stand-in' });
[PlatformCommand, ServiceCommand, EngineCommand, LinkCommand, Builtins.HelpCommand]
  .forEach((command) => cli.register(command));
await cli.runExit(process.argv.slice(2));
