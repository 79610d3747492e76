/** Resolves a caller's request to its route, service and organisation. */
import {
  createRefusal, pickService, priorityOf, type ServingOrganisation, type ServingRoute,
  type ServingView,
} from '@verbenashunt/core';
import type { CallerRequest } from '../ports.js';
import type { RequestSpec } from './spec.js';

/**
 * The organisation that the key belongs to; throws a refusal if it is missing or unknown.
 * Undefined if the route or the whole configuration needs no key.
 */
function organisationOf(
  view: ServingView,
  { isPublic }: ServingRoute,
  { key }: CallerRequest,
): ServingOrganisation | undefined {
  if (view.config.organisations === undefined || isPublic) return undefined;
  const org = key === undefined ? undefined : view.organisationOf(key);
  if (!org) throw createRefusal('unauthorized');
  return org;
}

/**
 * Describes the request without its body; throws a refusal if there is no route, service or valid
 * key for it. `share` is a random number in [0, 1) that picks one of the services of the route.
 */
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
    organisation: organisation?.name,
    priority: priorityOf(route, organisation),
    priorities: view.prioritiesOf(service.name),
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
