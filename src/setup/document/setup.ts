import type { Micros } from '../../common/micros.js';
import type { CallerLimits } from './caller-limits.js';
import type { Pressure } from './pressure.js';
import type { Rule } from './rule.js';
import type { Service } from './service.js';
import type { Tenant } from './tenant.js';
import type { Tier } from './tier.js';
import type { Warmup } from './warmup.js';

/** A whole setup, as an operator sends it. */
export type Setup = {
  readonly name: string;
  /** How many routers there are, where the operator tells; otherwise they are counted. */
  readonly fleet?: { readonly routers: number };
  readonly services: readonly Service[];
  readonly tiers: readonly Tier[];
  readonly rules: readonly Rule[];
  /** The customers and their keys; where there is no such list, requests carry no key. */
  readonly tenants?: readonly Tenant[];
  readonly warmup: Warmup;
  readonly flight: { readonly boundUs: Micros };
  readonly pressure: Pressure;
  readonly retry: { readonly fraction: number; readonly fleetExtra: number };
  readonly callers?: CallerLimits;
  readonly leaving: { readonly graceUs: Micros };
};
