import type { Quota } from '../../setup/document/quota.js';

/** What a request costs of a quota: one, or the tokens that it tells, or those that stand for a request that tells none. */
export const quotaCostOf = ({ unit, defaultTokens }: Quota, toldTokens: number | undefined): number =>
  unit === 'requests' ? 1 : (toldTokens ?? defaultTokens);
