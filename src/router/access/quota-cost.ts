import type { Quota } from '../../setup/document/quota.js';

/** The cost of a request in units of its quota: 1 per request, or its declared tokens, or the default for undeclared tokens. */
export const quotaCostOf = ({ unit, defaultTokens }: Quota, declaredTokens: number | undefined): number =>
  unit === 'requests' ? 1 : (declaredTokens ?? defaultTokens);
