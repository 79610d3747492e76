/** What a caller's request is under a configuration: its route, service and organisation. */
import {
  createRefusal, pickService, type ServingRoute, type ServingView,
} from '@verbenashunt/core';
import type { CallerRequest } from '../ports.js';
import type { RequestSpec } from './spec.js';

/** Name of the organisation that a key belongs to; refuses a missing or unknown key. */
function organisationOf(
  view: ServingView,
  { isPublic }: ServingRoute,
  { key }: CallerRequest,
): string | undefined {
  if (view.config.organisations === undefined || isPublic) return undefined;
  const org = key === undefined ? undefined : view.organisationOf(key);
  if (!org) throw createRefusal('unauthorized');
  return org.name;
}

/** The request without its body; `share` in [0, 1) picks among the services of its route. */
export function specOf(
  view: ServingView,
  caller: CallerRequest,
  arrivedAt: number,
  share: number,
): Omit<RequestSpec, 'body'> {
  const route = view.routeOf(caller.host, caller.target);
  if (!route) throw createRefusal('not_found');
  const organisation = organisationOf(view, route, caller);
  const name = pickService(route, share);
  const service = name === undefined ? undefined : view.serviceOf(name);
  if (!service) throw createRefusal('no_target', { detail: route.name });
  const { prompt = 0, answer = 1 } = service.engine?.usual ?? {};
  return {
    caller,
    version: view.config.version,
    route,
    service,
    organisation,
    kind: route.kind,
    resumable: route.resumable,
    maxAttempts: route.maxAttempts,
    size: {
      promptTokens: caller.promptTokens || prompt,
      answerTokens: Math.max(1, Math.min(answer, caller.maxAnswerTokens ?? answer)),
    },
    arrivedAt,
    expiresAt: arrivedAt + Math.min(caller.deadlineMs ?? route.timeoutMs, route.timeoutMs),
  };
}
