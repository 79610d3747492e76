/** Commands that drain, undrain, pin or release one target. */
import { Command, Option } from 'clipanion';
import { canonicalJson, drainItem, pinItem } from '@verbenashunt/core';
import type { Change, Command as OperatorCommand } from '@verbenashunt/schema';
import { newCommandId, PlanError, RemoteCommand } from './remote.js';

const category = 'Targets';

abstract class TargetCommand extends RemoteCommand {
  target = Option.String({ name: 'target' });

  base = Option.String('--base', { description: 'Revision that the change is based on. Default: current revision of the entry.' });

  commandId = Option.String('--command-id', { description: 'Id of the command; commands with the same id are executed at most once. Random by default.' });

  protected async sendChange(kind: OperatorCommand['kind'], change: Change) {
    const baseRevision = this.base === undefined
      ? Number((await this.read('config')).revision)
      : Number(this.base);
    if (!Number.isInteger(baseRevision)) throw new PlanError('--base takes a revision number');
    return this.send({
      commandId: this.commandId ?? newCommandId(), kind, baseRevision, changes: [change],
    });
  }
}

export class DrainCommand extends TargetCommand {
  static override paths = [['drain']];

  static override usage = Command.Usage({ category, description: 'Stop sending new requests to a target; requests in flight continue.' });

  reason = Option.String('--reason', '', { description: 'Reason, recorded with the drain.' });

  protected run() {
    return this.sendChange('drain', {
      item: drainItem(this.target), value: canonicalJson({ reason: this.reason }),
    });
  }
}

export class UndrainCommand extends TargetCommand {
  static override paths = [['undrain']];

  static override usage = Command.Usage({ category, description: 'Send new requests to a drained target again.' });

  protected run() {
    return this.sendChange('undrain', { item: drainItem(this.target) });
  }
}

export class PinCommand extends TargetCommand {
  static override paths = [['pin']];

  static override usage = Command.Usage({ category, description: 'Make a target hold exactly the layers [lo, hi) of a model.' });

  model = Option.String({ name: 'model' });

  lo = Option.String({ name: 'lo' });

  hi = Option.String({ name: 'hi' });

  protected run() {
    const [lo, hi] = [Number(this.lo), Number(this.hi)];
    if (!Number.isInteger(lo) || !Number.isInteger(hi)) throw new PlanError('pin takes TARGET MODEL LO HI, where LO and HI are whole numbers');
    return this.sendChange('pin', {
      item: pinItem(this.target),
      value: canonicalJson({ model: this.model, lo, hi }),
    });
  }
}

export class ReleaseCommand extends TargetCommand {
  static override paths = [['release']];

  static override usage = Command.Usage({ category, description: 'Remove the pin of a target.' });

  protected run() {
    return this.sendChange('release', { item: pinItem(this.target) });
  }
}
