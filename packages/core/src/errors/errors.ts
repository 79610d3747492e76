/** The hierarchy of errors; every failure of the system is an instance of one of these. */
import ModernError from 'modern-errors';
import { refusals, type Ran, type RefusalCode } from './refusals.js';

const withCode = (code: string) => ({ props: { code } });

/** Root of the hierarchy; `code` is stable and documented in docs/errors.md. */
export const BaseError = ModernError.subclass('BaseError', withCode('internal'));

/** A setting, flag or environment variable is wrong, missing or unknown. */
export const SettingsError = BaseError.subclass('SettingsError', withCode('bad_settings'));

/** A declaration file is not valid. */
export const DeclarationError = BaseError.subclass('DeclarationError', withCode('bad_declaration'));

/** A peer sent bytes that are not a message of the protocol. */
export const ProtocolError = BaseError.subclass('ProtocolError', withCode('bad_frame'));

/** A connection ended for a reason of its peer: silent, too slow, or not who it should be. */
export const PeerError = BaseError.subclass('PeerError', withCode('peer_lost'));

/** The platform did not answer, or cannot serve. The effect of a write is unknown. */
export const PlatformError = BaseError.subclass('PlatformError', withCode('platform_unavailable'));

/** The platform refused a call over its rate; the call had no effect. */
export const PlatformRateError = PlatformError.subclass('PlatformRateError', withCode('platform_rate_limited'));

/** The store can't tell the changes since a version any more; all rows have to be read again. */
export const HistoryLostError = PlatformError.subclass('HistoryLostError', withCode('history_lost'));

/** A conditional write found another version than it named; nothing was written. */
export const ConflictError = BaseError.subclass('ConflictError', withCode('conflict'));

/** The target did not answer, or broke off its answer. */
export const TargetError = BaseError.subclass('TargetError', withCode('target_failed'));

/** What the caller of a refused request is told. */
export interface RefusalProps {
  code: RefusalCode;
  status: number;
  ran: Ran;
  retryAfterMs: number | undefined;
}

const unknownRefusal: RefusalProps = {
  code: 'internal', status: 500, ran: 'unknown', retryAfterMs: undefined,
};

/** A request was refused. */
export const RefusalError = BaseError.subclass('RefusalError', { props: unknownRefusal });

export type Refusal = InstanceType<typeof RefusalError>;

export interface RefusalOptions {
  retryAfterMs?: number;
  ran?: Ran;
  detail?: string;
}

/** Makes a refusal with the documented message of its code. */
export function createRefusal(code: RefusalCode, options: RefusalOptions = {}): Refusal {
  const {
    message, status, ran, ...known
  } = refusals[code];
  const defaultRetryMs = 'retryAfterMs' in known ? known.retryAfterMs : undefined;
  return new RefusalError(options.detail ? `${message}: ${options.detail}` : message, {
    props: {
      code, status, ran: options.ran ?? ran, retryAfterMs: options.retryAfterMs ?? defaultRetryMs,
    },
  });
}

/** What a refusal says to the caller in its body. */
export const refusalBody = ({ code, message, ran }: Refusal, request?: string) => ({
  error: {
    code, message, ran, ...(request ? { request } : {}),
  },
});

/** What a caller is told of any error: the refusal that it is, or that the entry failed. */
export const toRefusal = (err: unknown): Refusal => (err instanceof RefusalError
  ? err
  : createRefusal('internal'));

/** The code of an error of this system or of Node.js; `internal` where it has none. */
export const errorCode = (err: Error): string => ('code' in err ? String(err.code) : 'internal');

/** What a log line says of anything that was thrown. */
export function errorFields(thrown: unknown): { code: string; err: string } {
  const err = BaseError.normalize(thrown);
  return { code: errorCode(err), err: err.message };
}
