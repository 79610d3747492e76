/**
 * Quarantine of requests that crash targets, by their whole input or by a message that they share.
 * Of a whole input the entry that saw the crashes decides; the records are kept in the table
 * service, where every entry reads them.
 */
import {
  ConflictError, createSuspectTracker, sha256, type Clock,
} from '@verbenashunt/core';
import { validators, type PoisonRecord } from '@verbenashunt/schema';
import type { PlatformClient } from '@verbenashunt/wire';
import type { GenerationDeps, GenerationSpec, TargetLoss } from './generation-spec.js';
import { createPartRecords } from './part-records.js';

const table = 'poison';
/** Prefix of the parts of prompts among the fingerprints that operators see. */
const partPrefix = 'part.';
const pollMs = 2000;
/** Time for which a crash counts against a fingerprint. */
const crashRetentionMs = 600_000;
const maxWriteTries = 5;
const writeRetryMs = 500;

export interface QuarantineEntry extends PoisonRecord {
  fingerprint: string;
}

type ChooseChain = GenerationDeps['chooseChain'];
type ChooseReplacement = GenerationDeps['chooseReplacement'];

export interface Quarantine {
  isQuarantined(spec: GenerationSpec): boolean;
  /** Starts tracking a request. */
  track(spec: GenerationSpec): void;
  untrack(req: string): void;
  /** Records a crash; returns whether the request may be retried. */
  recordCrash(spec: GenerationSpec, loss: TargetLoss): boolean;
  recordBegun(spec: GenerationSpec): void;
  isSuspect(req: string): boolean;
  /** Nodes that run the request. */
  nodesOf(req: string): string[];
  recordNodes(req: string, nodes: readonly string[]): void;
  /** Wraps `choose` so that a suspect gets no node that runs another suspect. */
  isolateChainChoice(choose: ChooseChain): ChooseChain;
  /** The same for one stage; chooses none while the request shares a node with a suspect. */
  isolateStageChoice(choose: ChooseReplacement): ChooseReplacement;
  /** See `GenerationDeps.isUnblockedBySuspects`. */
  isUnblockedBySuspects(choose: ChooseChain): GenerationDeps['isUnblockedBySuspects'];
  list(): QuarantineEntry[];
  /**
   * Lets a fingerprint run again; returns false if it is unknown. Throws PlatformError if the
   * release can't be recorded.
   */
  release(fingerprint: string, operator: string): Promise<boolean>;
  close(): void;
}

export interface QuarantineDeps {
  clock: Clock;
  random: () => number;
  platform: PlatformClient;
  /** VM of this entry. */
  entry: string;
  /** Called when this entry quarantines a fingerprint or a part. */
  onQuarantined(fingerprint: string): void;
}

/** Hash of the request's input to the targets. */
export const fingerprintOf = ({ model, version, prompt }: GenerationSpec) => sha256(
  Buffer.concat([Buffer.from(`${model}\n${version}\n`), Buffer.from(Int32Array.from(prompt).buffer)]),
);

export function createQuarantine(deps: QuarantineDeps): Quarantine {
  const { clock, platform } = deps;
  const suspects = createSuspectTracker();
  const parts = createPartRecords({
    ...deps, onQuarantined: (part) => deps.onQuarantined(`${partPrefix}${part}`),
  });
  let records = new Map<string, PoisonRecord>();
  /** Records that are not yet in the table. */
  const unwritten = new Map<string, PoisonRecord>();
  let cancelPoll = () => {};
  let closed = false;

  function parse(value: string): PoisonRecord[] {
    const record: unknown = JSON.parse(value);
    return validators.poisonRecord(record) ? [record] : [];
  }

  async function poll() {
    try {
      const rows = await platform.scan(table, '');
      const found = new Map(rows.flatMap(({ key, value }) => parse(value)
        .map((record) => [key, record] as const)));
      records = new Map([...found, ...unwritten]);
      await parts.read();
    } catch {
      // The known records stay in force until the table service is available again.
    }
    if (!closed) cancelPoll = clock.after(pollMs * (0.75 + deps.random() / 2), poll);
  }

  /** Changes a record with a conditional write; retries after a conflict. */
  async function update(
    fingerprint: string,
    change: (before: PoisonRecord | undefined) => PoisonRecord,
  ): Promise<void> {
    const row = await platform.get(table, fingerprint);
    const next = change(row && parse(row.value)[0]);
    try {
      await platform.transact({
        conditions: [{ table, key: fingerprint, version: row?.version ?? 0 }],
        puts: [{ table, key: fingerprint, value: JSON.stringify(next) }],
      });
      records.set(fingerprint, next);
      unwritten.delete(fingerprint);
    } catch (err) {
      if (!(err instanceof ConflictError)) throw err;
      await update(fingerprint, change);
    }
  }

  /** Writes a crash to the table; after the last failed try it is kept on this entry only. */
  async function writeCrash(fingerprint: string, crash: PoisonRecord, tries = 1): Promise<void> {
    try {
      await update(fingerprint, (before) => ({
        ...crash,
        crashes: Math.max(crash.crashes, (before?.crashes ?? 0) + 1),
        state: before?.state === 'quarantined' ? before.state : crash.state,
      }));
    } catch {
      if (tries >= maxWriteTries || closed) return;
      clock.after(writeRetryMs * tries, () => writeCrash(fingerprint, crash, tries + 1));
    }
  }

  const nodesToAvoid = ({ req }: GenerationSpec, avoid: ReadonlySet<string>) => new Set([
    ...avoid, ...suspects.nodesOfOtherSuspects(req),
  ]);
  const timestamp = () => new Date(clock.wall()).toISOString();

  const hasQuarantinedPart = (spec: GenerationSpec) => parts.findCrashing(spec.parts) !== undefined;

  function recordPartCrash(spec: GenerationSpec, loss: TargetLoss) {
    if (loss.hasBegun || spec.parts.length === 0) return;
    const ageMs = clock.now() - loss.sentAt;
    const at = clock.wall();
    parts.recordCrash({
      target: loss.id, at, unbegun: [{ parts: spec.parts, sentAt: at - Math.round(ageMs) }],
    });
  }

  poll();
  return {
    isQuarantined: (spec) => hasQuarantinedPart(spec) || (records.size > 0
      && records.get(fingerprintOf(spec))?.state === 'quarantined'),
    track(spec) {
      const fingerprint = fingerprintOf(spec);
      const previous = records.get(fingerprint);
      const ageMs = clock.wall() - Date.parse(previous?.at ?? '');
      suspects.begin(
        spec.req,
        fingerprint,
        previous && ageMs < crashRetentionMs ? previous.crashes : 0,
      );
    },
    untrack: suspects.end,
    recordBegun: (spec) => parts.recordBegun(spec.parts),
    recordCrash(spec, loss) {
      const { req, org, model } = spec;
      recordPartCrash(spec, loss);
      const fingerprint = suspects.fingerprintOf(req);
      if (!fingerprint) return true;
      const verdict = suspects.recordCrash(req, loss.isAlone);
      const crash: PoisonRecord = {
        state: verdict === 'quarantine' ? 'quarantined' : 'suspect',
        crashes: (records.get(fingerprint)?.crashes ?? 0) + 1,
        org,
        model,
        at: timestamp(),
      };
      records.set(fingerprint, crash);
      unwritten.set(fingerprint, crash);
      writeCrash(fingerprint, crash);
      if (verdict === 'quarantine') deps.onQuarantined(fingerprint);
      return verdict === 'retry' && !hasQuarantinedPart(spec);
    },
    isSuspect: suspects.isSuspect,
    nodesOf: suspects.nodesOf,
    recordNodes: suspects.place,
    isolateChainChoice: (choose) => (spec, avoid) => choose(spec, nodesToAvoid(spec, avoid)),
    isolateStageChoice: (choose) => (spec, range, avoid) => (
      suspects.sharesNodeWithSuspect(spec.req)
        ? undefined
        : choose(spec, range, nodesToAvoid(spec, avoid))
    ),
    isUnblockedBySuspects: (choose) => (
      spec,
      avoid,
    ) => suspects.nodesOfOtherSuspects(spec.req).size === 0 || !choose(spec, avoid),
    list: () => [
      ...[...records].filter(([, { state }]) => state !== 'released')
        .map(([fingerprint, record]) => ({ fingerprint, ...record })),
      ...parts.list().map(({ part, crashes }) => ({
        fingerprint: `${partPrefix}${part}`, state: 'quarantined' as const, crashes, org: '', model: '', at: '',
      })),
    ],
    async release(fingerprint, operator) {
      if (fingerprint.startsWith(partPrefix)) {
        return parts.release(fingerprint.slice(partPrefix.length));
      }
      if (!await platform.get(table, fingerprint)) return false;
      await update(fingerprint, (before) => ({
        org: '', model: '', ...before, state: 'released', crashes: 0, at: timestamp(), operator,
      }));
      return true;
    },
    close() {
      closed = true;
      cancelPoll();
      parts.close();
    },
  };
}
