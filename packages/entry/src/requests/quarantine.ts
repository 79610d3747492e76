/**
 * Quarantine of requests that crash targets: decided by the entry that saw the crashes, kept in
 * the table service and read by every entry.
 */
import {
  ConflictError, createSuspectTracker, sha256, type Clock,
} from '@verbenashunt/core';
import { validators, type PoisonRecord } from '@verbenashunt/schema';
import type { PlatformClient } from '@verbenashunt/wire';
import type { GenerationDeps, GenerationSpec } from './generation-spec.js';

const table = 'poison';
const pollMs = 2000;
/** Time for which a crash counts against a fingerprint, in milliseconds. */
const memoryMs = 600_000;
const maxWriteTries = 5;
const writeRetryMs = 500;

export interface QuarantineEntry extends PoisonRecord {
  fingerprint: string;
}

type ChooseChain = GenerationDeps['choose'];
type ChooseStage = GenerationDeps['replace'];

export interface Quarantine {
  has(spec: GenerationSpec): boolean;
  /** Tracks a request while it runs. */
  begin(spec: GenerationSpec): void;
  end(req: string): void;
  /** Returns whether the request may be tried again. */
  crashed(spec: GenerationSpec, alone: boolean): boolean;
  isSuspect(req: string): boolean;
  /** Nodes that run the request now. */
  nodesOf(req: string): string[];
  placed(req: string, nodes: readonly string[]): void;
  /** Chooses by `choose`, for a suspect apart from other suspects. */
  chain(choose: ChooseChain): ChooseChain;
  /** The same for one stage; none where the other stages are shared with other suspects. */
  stage(choose: ChooseStage): ChooseStage;
  /** Whether no other suspect is in the way of a chain. */
  isApart(choose: ChooseChain): GenerationDeps['isApart'];
  list(): QuarantineEntry[];
  /** Lets a fingerprint run again; PlatformError when that cannot be recorded. */
  release(fingerprint: string, operator: string): Promise<boolean>;
  close(): void;
}

export interface QuarantineDeps {
  clock: Clock;
  random: () => number;
  platform: PlatformClient;
  /** A fingerprint was quarantined here. */
  onQuarantined(fingerprint: string): void;
}

/** Fingerprint of what the targets are given. */
export const fingerprintOf = ({ model, version, prompt }: GenerationSpec) => sha256(
  Buffer.concat([Buffer.from(`${model}\n${version}\n`), Buffer.from(Int32Array.from(prompt).buffer)]),
);

export function createQuarantine(deps: QuarantineDeps): Quarantine {
  const { clock, platform } = deps;
  const suspects = createSuspectTracker();
  let records = new Map<string, PoisonRecord>();
  /** Records that are not in the table yet. */
  const unwritten = new Map<string, PoisonRecord>();
  let cancelPoll = () => {};
  let closed = false;

  function parse(value: string): PoisonRecord[] {
    const found: unknown = JSON.parse(value);
    return validators.poisonRecord(found) ? [found] : [];
  }

  async function poll() {
    try {
      const rows = await platform.scan(table, '');
      const found = new Map(rows.flatMap(({ key, value }) => parse(value)
        .map((one) => [key, one] as const)));
      records = new Map([...found, ...unwritten]);
    } catch {
      // What is known stays in force until the table answers.
    }
    if (!closed) cancelPoll = clock.after(pollMs * (0.75 + deps.random() / 2), poll);
  }

  /** Changes a record by conditional write, again after a conflict. */
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

  /** Records a crash; what cannot be written stays in force at this entry. */
  async function record(fingerprint: string, known: PoisonRecord, tries = 1): Promise<void> {
    try {
      await update(fingerprint, (before) => ({
        ...known,
        crashes: Math.max(known.crashes, (before?.crashes ?? 0) + 1),
        state: before?.state === 'quarantined' ? before.state : known.state,
      }));
    } catch {
      if (tries >= maxWriteTries || closed) return;
      clock.after(writeRetryMs * tries, () => record(fingerprint, known, tries + 1));
    }
  }

  const apartFrom = ({ req }: GenerationSpec, avoid: ReadonlySet<string>) => new Set([
    ...avoid, ...suspects.nodesOfOtherSuspects(req),
  ]);
  const now = () => new Date(clock.wall()).toISOString();

  poll();
  return {
    has: (spec) => records.size > 0 && records.get(fingerprintOf(spec))?.state === 'quarantined',
    begin(spec) {
      const fingerprint = fingerprintOf(spec);
      const known = records.get(fingerprint);
      const ageMs = clock.wall() - Date.parse(known?.at ?? '');
      suspects.begin(spec.req, fingerprint, known && ageMs < memoryMs ? known.crashes : 0);
    },
    end: suspects.end,
    crashed({ req, org, model }, alone) {
      const fingerprint = suspects.fingerprintOf(req);
      if (!fingerprint) return true;
      const verdict = suspects.recordCrash(req, alone);
      const known: PoisonRecord = {
        state: verdict === 'quarantine' ? 'quarantined' : 'suspect',
        crashes: (records.get(fingerprint)?.crashes ?? 0) + 1,
        org,
        model,
        at: now(),
      };
      records.set(fingerprint, known);
      unwritten.set(fingerprint, known);
      record(fingerprint, known);
      if (verdict === 'quarantine') deps.onQuarantined(fingerprint);
      return verdict === 'retry';
    },
    isSuspect: suspects.isSuspect,
    nodesOf: suspects.nodesOf,
    placed: suspects.place,
    chain: (choose) => (spec, avoid) => choose(spec, apartFrom(spec, avoid)),
    stage: (choose) => (spec, range, avoid) => (suspects.sharesNodeWithSuspect(spec.req)
      ? undefined
      : choose(spec, range, apartFrom(spec, avoid))),
    isApart: (choose) => (spec, avoid) => suspects.nodesOfOtherSuspects(spec.req).size === 0
      || !choose(spec, avoid),
    list: () => [...records].filter(([, { state }]) => state !== 'released')
      .map(([fingerprint, found]) => ({ fingerprint, ...found })),
    async release(fingerprint, operator) {
      if (!await platform.get(table, fingerprint)) return false;
      await update(fingerprint, (before) => ({
        org: '', model: '', ...before, state: 'released', crashes: 0, at: now(), operator,
      }));
      return true;
    },
    close() {
      closed = true;
      cancelPoll();
    },
  };
}
