/** All codes with which a request can be refused, and the response for each. */

/** Whether a refused request may have run: certainly not, or unknown. */
export type Ran = 'no' | 'unknown';

interface RefusalInfo {
  status: number;
  ran: Ran;
  message: string;
  /** Default for Retry-After in milliseconds; absent if a retry cannot help. */
  retryAfterMs?: number;
}

const info = (
  status: number,
  ran: Ran,
  message: string,
  retryAfterMs?: number,
): RefusalInfo => ({
  status, ran, message, ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
});

export const refusals = {
  bad_request: info(400, 'no', 'The request is not valid'),
  unauthorized: info(401, 'no', 'The bearer key is missing or unknown'),
  forbidden: info(403, 'no', 'The organisation may not use this fleet'),
  not_found: info(404, 'no', 'No route or model has this name'),
  body_too_large: info(413, 'no', 'The body is larger than the limit'),
  headers_too_large: info(431, 'no', 'The headers are larger than the limit'),
  request_timeout: info(408, 'no', 'The request did not arrive in time'),
  method_not_allowed: info(405, 'no', 'The method is not one that can be routed'),
  too_many_connections: info(503, 'no', 'The entry has too many connections', 1000),
  key_required: info(400, 'no', 'A call that may not be repeated needs an Idempotency-Key'),
  key_reused: info(422, 'no', 'The Idempotency-Key was used with another body'),
  rate_limited: info(429, 'no', 'The organisation is over its limit', 1000),
  overloaded: info(503, 'no', 'All targets are busy', 1000),
  no_chain: info(503, 'no', 'No chain of targets serves the model now', 1000),
  no_target: info(503, 'no', 'No target serves the route now', 1000),
  not_ready: info(503, 'no', 'The entry has no configuration yet', 1000),
  stopping: info(503, 'no', 'The entry is stopping', 100),
  deadline: info(504, 'no', 'The deadline passed before the request could start'),
  quarantined: info(422, 'no', 'The request crashed the targets that ran it'),
  platform_unavailable: info(503, 'no', 'The platform cannot record the call now', 2000),
  interrupted: info(502, 'unknown', 'The request was interrupted and cannot be completed'),
  outcome_unknown: info(504, 'unknown', 'The outcome of the call is not known'),
  internal: info(500, 'unknown', 'The entry failed'),
} as const satisfies Record<string, RefusalInfo>;

export type RefusalCode = keyof typeof refusals;
