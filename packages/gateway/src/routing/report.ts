/** Requests a target's report of its load and state. */
import type { ServingTarget } from '@verbenashunt/core';
import { exchangeOnce, type ExchangeOptions } from '@verbenashunt/wire';
import type { TargetProtocol, TargetReport } from '../ports.js';
import type { TargetExchanger } from '../targets/target-exchanger.js';

export interface ReportDeps {
  exchanger: Pick<TargetExchanger, 'to'>;
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
    exchanger.to(target),
    target.address,
    protocol.reportRequest(target),
    timeoutMs,
    options,
  );
  return protocol.decodeReport(status, body);
}
