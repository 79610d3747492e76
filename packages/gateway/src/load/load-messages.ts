/** Encodes and decodes the messages in which entries exchange their loads. */
import { ProtocolError } from '@verbenashunt/core';
import type { LoadAnswer, LoadReport, ZoneLoads } from '../generated/relay.js';
import {
  validateLoadAnswer, validateLoadReport, validateZoneLoads,
} from '../generated/relay-validators.js';

/** Maximum size of a message in bytes. */
export const maxLoadBytes = 64 * 1024;

function parse<T>(body: Buffer, isValid: (value: unknown) => value is T): T {
  if (body.length > maxLoadBytes) throw new ProtocolError('the loads are too large');
  let value: unknown;
  try {
    value = JSON.parse(body.toString());
  } catch (err) {
    throw new ProtocolError('the loads are not JSON', { cause: err });
  }
  if (!isValid(value)) throw new ProtocolError('the loads are not valid');
  return value;
}

const isReport = (value: unknown): value is LoadReport => validateLoadReport(value);
const isAnswer = (value: unknown): value is LoadAnswer => validateLoadAnswer(value);
const isZoneLoads = (value: unknown): value is ZoneLoads => validateZoneLoads(value);

/** Throws ProtocolError. */
export const decodeReport = (body: Buffer) => parse(body, isReport);
/** Throws ProtocolError. */
export const decodeAnswer = (body: Buffer) => parse(body, isAnswer);
/** Throws ProtocolError. */
export const decodeZoneLoads = (body: Buffer) => parse(body, isZoneLoads);

type LoadMessage = LoadReport | LoadAnswer | ZoneLoads;

/** Encodes a message; leaves out the targets if it would be too large with them. */
export function encodeLoads(message: LoadMessage): Buffer {
  const body = Buffer.from(JSON.stringify(message));
  if (body.length <= maxLoadBytes) return body;
  return Buffer.from(JSON.stringify({ ...message, targets: {}, failing: {} }));
}
