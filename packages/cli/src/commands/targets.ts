/** Commands that act on one target: drain, undrain, pin, release. */
import { Command, Option } from 'clipanion';
import { canonicalJson, drainItem, pinItem } from '@verbenashunt/core';
import type { Change, Command as OperatorCommand } from '@verbenashunt/schema';
import { newCommandId, PlanError, RemoteCommand } from './remote.js';

const category = 'Targets';

abstract class TargetCommand extends RemoteCommand {
  target = Option.String({ name: 'target' });

  base = Option.String('--base', { description: 'Revision that the decision rests on; by default the one in force.' });

  commandId = Option.String('--command-id', { description: 'Id under which the command is carried out at most once.' });

  protected async change(kind: OperatorCommand['kind'], change: Change) {
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

  static override usage = Command.Usage({ category, description: 'Let a target finish its work and give it no new work.' });

  reason = Option.String('--reason', '', { description: 'Why, for the record.' });

  protected run() {
    return this.change('drain', {
      item: drainItem(this.target), value: canonicalJson({ reason: this.reason }),
    });
  }
}

export class UndrainCommand extends TargetCommand {
  static override paths = [['undrain']];

  static override usage = Command.Usage({ category, description: 'Let a drained target take work again.' });

  protected run() {
    return this.change('undrain', { item: drainItem(this.target) });
  }
}

export class PinCommand extends TargetCommand {
  static override paths = [['pin']];

  static override usage = Command.Usage({ category, description: 'Fix the layers [lo, hi) of a model that a target holds.' });

  model = Option.String({ name: 'model' });

  lo = Option.String({ name: 'lo' });

  hi = Option.String({ name: 'hi' });

  protected run() {
    const [lo, hi] = [Number(this.lo), Number(this.hi)];
    if (!Number.isInteger(lo) || !Number.isInteger(hi)) throw new PlanError('pin takes TARGET MODEL LO HI');
    return this.change('pin', {
      item: pinItem(this.target),
      value: canonicalJson({ model: this.model, lo, hi }),
    });
  }
}

export class ReleaseCommand extends TargetCommand {
  static override paths = [['release']];

  static override usage = Command.Usage({ category, description: 'Undo a pin.' });

  protected run() {
    return this.change('release', { item: pinItem(this.target) });
  }
}
