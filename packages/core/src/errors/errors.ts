/** Error classes of the system; all derive from `BaseError`. */
import ModernError from 'modern-errors';
import { refusals, type Ran, type RefusalCode } from './refusals.js';

const withCode = (code: string) => ({ props: { code } });

/** Base class of all errors; `code` is stable and documented in docs/errors.md. */
export const BaseError = ModernError.subclass('BaseError', withCode('internal'));

/** A setting, flag or environment variable is invalid, missing or unknown. */
export const SettingsError = BaseError.subclass('SettingsError', withCode('bad_settings'));

/** A declaration file is not valid. */
export const DeclarationError = BaseError.subclass('DeclarationError', withCode('bad_declaration'));

/** A peer sent bytes that are not a message of the protocol. */
export const ProtocolError = BaseError.subclass('ProtocolError', withCode('bad_frame'));

/** A connection ended because of its peer: it was silent, too slow or not the expected one. */
export const PeerError = BaseError.subclass('PeerError', withCode('peer_lost'));

/** The platform did not answer or is unavailable. It is unknown whether a write took effect. */
export const PlatformError = BaseError.subclass('PlatformError', withCode('platform_unavailable'));

/** The platform refused a call because of its rate limit; the call had no effect. */
export const PlatformRateError = PlatformError.subclass('PlatformRateError', withCode('platform_rate_limited'));

/** The store no longer has the changes since a version; all rows have to be read again. */
export const HistoryLostError = PlatformError.subclass('HistoryLostError', withCode('history_lost'));

/** A conditional write found another version than expected; nothing was written. */
export const ConflictError = BaseError.subclass('ConflictError', withCode('conflict'));

/** The target did not answer, or its answer was incomplete. */
export const TargetError = BaseError.subclass('TargetError', withCode('target_failed'));

/** The answer was larger than its reader takes, and was not read to its end. */
export const AnswerTooLargeError = TargetError.subclass('AnswerTooLargeError', withCode('answer_too_large'));

/** The target asked this entry to pause, so nothing was sent to it. */
export const TargetPausedError = BaseError.subclass('TargetPausedError', withCode('target_paused'));

/** The target limits its rate and takes no further request now, so nothing was sent to it. */
export const TargetLimitedError = BaseError.subclass('TargetLimitedError', withCode('target_limited'));

/** Whether nothing was sent as the target wants no requests now; tells nothing of its health. */
export const isHeldBack = (err: unknown) => err instanceof TargetPausedError
  || err instanceof TargetLimitedError;

/** Details of a refusal that are sent to the caller. */
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

/** Creates a refusal with the message of its code; `detail` is appended to it. */
export function createRefusal(code: RefusalCode, options: RefusalOptions = {}): Refusal {
  const {
    message, status, ran, ...rest
  } = refusals[code];
  const defaultRetryMs = 'retryAfterMs' in rest ? rest.retryAfterMs : undefined;
  return new RefusalError(options.detail ? `${message}: ${options.detail}` : message, {
    props: {
      code, status, ran: options.ran ?? ran, retryAfterMs: options.retryAfterMs ?? defaultRetryMs,
    },
  });
}

/** Response body of a refusal; `request` is the request's id. */
export const refusalBody = ({ code, message, ran }: Refusal, request?: string) => ({
  error: {
    code, message, ran, ...(request ? { request } : {}),
  },
});

/** Converts any error to a refusal: itself if it is one, else `internal`. */
export const toRefusal = (err: unknown): Refusal => (err instanceof RefusalError
  ? err
  : createRefusal('internal'));

/** The code of an error of this system or of Node.js; `internal` if it has none. */
export const errorCode = (err: Error): string => ('code' in err ? String(err.code) : 'internal');

/** Log fields for a thrown value. */
export function errorFields(thrown: unknown): { code: string; err: string } {
  const err = BaseError.normalize(thrown);
  return { code: errorCode(err), err: err.message };
}
