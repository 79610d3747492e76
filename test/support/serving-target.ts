/** A target of a plain service, as an entry lists it. */
import type { ServingTarget } from '@verbenashunt/core';

export const servingTarget = (
  id: string,
  overrides: Partial<ServingTarget> = {},
): ServingTarget => ({
  id,
  service: 'app',
  address: '127.0.0.1:9',
  zone: 'zone-a',
  draining: false,
  slots: 8,
  kind: undefined,
  held: undefined,
  startedAt: 5,
  ...overrides,
});
