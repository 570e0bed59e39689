import type { Micros } from '../../common/micros.js';
import type { ClientLimits } from './client-limits.js';
import type { Pressure } from './pressure.js';
import type { Rule } from './rule.js';
import type { Service } from './service.js';
import type { Tenant } from './tenant.js';
import type { Tier } from './tier.js';
import type { Warmup } from './warmup.js';

/** The configuration of the fleet, as sent by an operator. */
export type Setup = {
  readonly name: string;
  /** The number of routers; if it is absent, the live routers are counted. */
  readonly fleet?: { readonly routers: number };
  readonly services: readonly Service[];
  readonly tiers: readonly Tier[];
  readonly rules: readonly Rule[];
  /** The customers and their API keys; without this list, requests need no key. */
  readonly tenants?: readonly Tenant[];
  readonly warmup: Warmup;
  /** Single-flight: how long an exchange may wait for the prefill of the same prompt prefix by another one. */
  readonly flight: { readonly boundUs: Micros };
  readonly pressure: Pressure;
  /** The retry budget. */
  readonly retry: { readonly fraction: number; readonly fleetExtra: number };
  readonly callers?: ClientLimits;
  /** The grace period of a leaving server, after which it gets no new exchanges. */
  readonly leaving: { readonly graceUs: Micros };
};
