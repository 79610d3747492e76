/** Requests a target's report of its load and state. */
import type { ServingTarget } from '@verbenashunt/core';
import { exchangeOnce, type ExchangeOptions, type Exchanger } from '@verbenashunt/wire';
import type { TargetProtocol, TargetReport } from '../ports.js';

export interface ReportDeps {
  exchanger: Exchanger;
  protocol: TargetProtocol;
}

/** Rejects with TargetError or ProtocolError if no valid report arrives within `timeoutMs`. */
export async function requestReport(
  { exchanger, protocol }: ReportDeps,
  target: ServingTarget,
  timeoutMs: number,
  options?: ExchangeOptions,
): Promise<TargetReport> {
  const { status, body } = await exchangeOnce(
    exchanger,
    target.address,
    protocol.reportRequest(target),
    timeoutMs,
    options,
  );
  return protocol.decodeReport(status, body);
}
