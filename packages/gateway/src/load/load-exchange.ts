/**
 * Sends this entry's load to the keeper of its zone, asks the keepers of other zones for retries
 * when they are scarce, and, as a keeper, sends the zone's sums to the keepers of other zones.
 */
import type { Logger } from 'pino';
import { errorFields, type Clock } from '@verbenashunt/core';
import { exchangeOnce, type Exchanger } from '@verbenashunt/wire';
import type { LoadReport, ZoneLoads } from '../generated/relay.js';
import { chooseRelay } from '../relay/choose-relay.js';
import type { EntryRecord } from '../store/entry-rows.js';
import type { LoadKeeper } from './load-keeper.js';
import type { LoadMember } from './load-member.js';
import { decodeAnswer, encodeLoads } from './load-messages.js';
import { loadPath, zoneLoadPath } from './load-server.js';

export interface LoadExchangeDeps {
  clock: Clock;
  random: () => number;
  log: Logger;
  /** For calls to other entries. */
  exchanger: Exchanger;
  node: string;
  zone: string;
  entries(): readonly EntryRecord[];
  member: LoadMember;
  keeper: LoadKeeper;
  /** Whether entries lend each other unused retries. */
  isLending(): boolean;
  /** Whether retries of a service are scarce, so that other zones are asked for some. */
  isScarce(): boolean;
  /** Counts the bytes of a message sent and of its answer. */
  exchanged(sentBytes: number, receivedBytes: number): void;
}

export interface LoadExchange {
  /** To be called after a retry, a denied retry or a failed attempt; sends loads more often. */
  pressed(): void;
  close(): void;
}

/** Interval in milliseconds between reports. */
const calmIntervalMs = 1000;
/** Interval in milliseconds between reports for `pressedMs` after a call of `pressed`. */
const pressedIntervalMs = 250;
/** Time in milliseconds after a call of `pressed` in which reports are sent more often. */
const pressedMs = 1000;
/** Bytes a second that an entry uses for answers with the sums of all targets. */
const sumsBytesPerS = 5000;
const millisecondsPerSecond = 1000;
/**
 * Longest time in milliseconds until the next report with the loads of targets is due; shorter than
 * the calm interval, so that each report has them while none is denied or retried.
 */
const maxSumsIntervalMs = 800;
/** Interval in milliseconds between messages to the keepers of other zones. */
const zoneIntervalMs = 500;
/** Shortest time in milliseconds between requests for retries to the keepers of other zones. */
const minZoneAskMs = 400;
/** Timeout in milliseconds of one message. */
const timeoutMs = 400;
/** Time in milliseconds without an answer after which another entry is chosen as keeper. */
const silentMs = 1500;
/** Time in milliseconds for which a silent keeper is avoided. */
const avoidMs = 5000;
const statusOk = 200;
const statusNoContent = 204;

interface Keeper {
  node: string;
  address: string;
}

/** What is known of a keeper that this entry sends messages to. */
interface Contact {
  isPending: boolean;
  /** Last answer, or the first message if there was none since. */
  answeredAt: number;
  avoidedUntil: number;
  /** Whether it was silent for too long and has not answered since. */
  isLost: boolean;
}

export function createLoadExchange(deps: LoadExchangeDeps): LoadExchange {
  const {
    clock, random, log, exchanger, node, zone, member, keeper,
  } = deps;
  const contacts = new Map<string, Contact>();
  let pressedAt = -Infinity;
  let ranAt = -Infinity;
  /** When the loads of targets are to be reported again. */
  let sumsDueAt = -Infinity;
  /** When the keepers of other zones were last asked for retries. */
  let askedZonesAt = -Infinity;
  let currentKeeper: string | undefined;
  let cancelReport = () => {};
  let cancelZones = () => {};
  let isClosed = false;

  const isPressed = () => clock.now() - pressedAt < pressedMs;

  /** Entries that exchange loads, this one included. */
  const sharing = () => deps.entries().filter(({ relay }) => relay !== undefined);
  const isShared = () => sharing().some((entry) => entry.node !== node);

  function contactOf(other: string): Contact {
    const known = contacts.get(other);
    if (known) return known;
    const created = {
      isPending: false, answeredAt: clock.now(), avoidedUntil: -Infinity, isLost: false,
    };
    contacts.set(other, created);
    return created;
  }

  const isAvoided = (other: string) => (
    (contacts.get(other)?.avoidedUntil ?? -Infinity) > clock.now());

  /** The keeper of a zone; undefined if this entry is the keeper or there is none. */
  const keeperOf = (of: string): Keeper | undefined => chooseRelay(sharing(), {
    node, zone: of, minEntries: 1, isAvoided,
  });

  const otherZones = () => [...new Set(sharing().map(({ relay }) => relay!.zone))]
    .filter((other) => other !== zone);

  function recordAnswer(to: Keeper, contact: Contact) {
    if (contact.isLost) log.info({ keeper: to.node }, 'load keeper answers again');
    Object.assign(contact, { answeredAt: clock.now(), isLost: false });
  }

  function recordSilence(to: Keeper, contact: Contact, err: unknown) {
    if (clock.now() - contact.answeredAt < silentMs) return;
    Object.assign(contact, { avoidedUntil: clock.now() + avoidMs, answeredAt: Infinity });
    if (contact.isLost) return;
    Object.assign(contact, { isLost: true });
    log.warn({ keeper: to.node, ...errorFields(err) }, 'load keeper lost');
  }

  /** Sends a message; resolves to the answer's body, undefined if it was not taken. */
  async function send(to: Keeper, path: string, message: LoadReport | ZoneLoads) {
    const body = encodeLoads(message);
    const { status, body: answer } = await exchangeOnce(exchanger, to.address, {
      method: 'POST',
      path,
      headers: ['Host', to.address, 'Content-Type', 'application/json'],
      body,
    }, timeoutMs);
    deps.exchanged(body.length, answer.length);
    return status === statusOk || status === statusNoContent ? answer : undefined;
  }

  /** Calls a keeper unless a call is pending there; `exchange` resolves to whether it answered. */
  async function call(to: Keeper, exchange: () => Promise<boolean>) {
    const state = contactOf(to.node);
    if (state.isPending) return;
    state.isPending = true;
    // After a pause, the time without an answer starts with this message.
    if (state.answeredAt === Infinity) state.answeredAt = clock.now();
    try {
      if (await exchange()) recordAnswer(to, state);
      else recordSilence(to, state, undefined);
    } catch (err) {
      recordSilence(to, state, err);
    } finally {
      state.isPending = false;
    }
  }

  /** Sends a report and takes over its answer; resolves to the answer's size. */
  async function exchangeLoads(to: Keeper, report: LoadReport): Promise<number | undefined> {
    const askedAt = clock.now();
    const answer = await send(to, loadPath, report);
    if (!answer || isClosed) return undefined;
    member.accept(to.node, decodeAnswer(answer), askedAt, !report.grantsOnly);
    return answer.length;
  }

  const askForRetries = (to: Keeper, isOwnZone: boolean) => call(to, async () => (
    await exchangeLoads(to, member.reportRetries(to.node, isOwnZone))) !== undefined);

  /** Reports all loads; the larger the answers, the less often. */
  const askForSums = (to: Keeper) => call(to, async () => {
    const bytes = await exchangeLoads(to, member.report(to.node));
    if (bytes === undefined) return false;
    const intervalMs = (bytes * millisecondsPerSecond) / sumsBytesPerS;
    sumsDueAt = clock.now() + Math.min(maxSumsIntervalMs, intervalMs);
    return true;
  });

  function ask(to: Keeper) {
    if (clock.now() >= sumsDueAt) askForSums(to);
    else if (deps.isLending()) askForRetries(to, true);
  }

  const sendZoneLoads = (to: Keeper) => call(to, async () => (
    await send(to, zoneLoadPath, keeper.zoneLoads())) !== undefined);

  function askHere() {
    const askedAt = clock.now();
    const answer = keeper.receive(member.report(node));
    if (answer) member.accept(node, answer, askedAt, true);
  }

  function noteKeeper(chosen: string) {
    if (chosen === currentKeeper) return;
    log.info({ keeper: chosen, was: currentKeeper }, 'load keeper chosen');
    currentKeeper = chosen;
  }

  function sendReports() {
    const chosen = keeperOf(zone);
    noteKeeper(chosen?.node ?? node);
    if (chosen) ask(chosen);
    else askHere();
    if (!deps.isScarce() || clock.now() - askedZonesAt < minZoneAskMs) return;
    askedZonesAt = clock.now();
    otherZones().flatMap((other) => keeperOf(other) ?? [])
      .forEach((elsewhere) => askForRetries(elsewhere, false));
  }

  function scheduleReport(ms: number) {
    cancelReport();
    // eslint-disable-next-line @typescript-eslint/no-use-before-define -- each leads to the other
    cancelReport = clock.after(ms * (0.9 + random() / 5), runReport);
  }

  function runReport() {
    if (isClosed) return;
    ranAt = clock.now();
    if (isShared()) sendReports();
    scheduleReport(isPressed() ? pressedIntervalMs : calmIntervalMs);
  }

  function runZones() {
    if (isClosed) return;
    cancelZones = clock.after(zoneIntervalMs, runZones);
    if (!isShared() || keeperOf(zone)) return;
    otherZones().forEach((other) => {
      const elsewhere = keeperOf(other);
      if (elsewhere) sendZoneLoads(elsewhere);
    });
  }

  runReport();
  runZones();

  return {
    pressed() {
      const wasPressed = isPressed();
      pressedAt = clock.now();
      if (!wasPressed) scheduleReport(Math.max(0, ranAt + pressedIntervalMs - clock.now()));
    },
    close() {
      isClosed = true;
      cancelReport();
      cancelZones();
    },
  };
}
