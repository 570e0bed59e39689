import type { Micros } from '../../common/micros.js';
import type { Grant, TenantReserve } from './quota-reserve-state.js';

/** Over about so long the spending of a tenant is averaged. */
const spendingSpanUs: Micros = 3_000_000;
const secondUs = 1_000_000;

/** What is left of grants after so much of them was spent, those first that expire first. */
const grantsLess = (grants: readonly Grant[], spent: number): readonly Grant[] => {
  let left = spent;
  return grants.flatMap(({ tokens, expiresUs }) => {
    const taken = Math.min(left, tokens);
    left -= taken;
    return tokens > taken ? [{ tokens: tokens - taken, expiresUs }] : [];
  });
};

/** A reserve without what has expired by now; unspent tokens evaporate, and debt is paid first. */
export const withoutExpired = (reserve: TenantReserve, nowUs: Micros): TenantReserve => {
  const grants = reserve.grants.filter(({ expiresUs }) => expiresUs > nowUs);
  if (reserve.debt === 0) return grants.length === reserve.grants.length ? reserve : { ...reserve, grants };
  const paid = Math.min(reserve.debt, tokensIn(grants));
  return { ...reserve, debt: reserve.debt - paid, grants: grantsLess(grants, paid) };
};

const tokensIn = (grants: readonly Grant[]): number => grants.reduce((sum, { tokens }) => sum + tokens, 0);

/** The tokens at hand; 0 while a debt is open. */
export const tokensOf = ({ grants, debt }: TenantReserve): number => Math.max(0, tokensIn(grants) - debt);

export const withGrant = (reserve: TenantReserve, grant: Grant): TenantReserve =>
  grant.tokens <= 0
    ? reserve
    : { ...reserve, grants: [...reserve.grants, grant].sort((left, right) => left.expiresUs - right.expiresUs) };

const decayed = ({ spent, spentAtUs }: TenantReserve, nowUs: Micros): number =>
  spent * Math.exp(-Math.max(0, nowUs - spentAtUs) / spendingSpanUs);

/** Notes tokens as spent, wherever they came from. */
export const withSpending = (reserve: TenantReserve, cost: number, nowUs: Micros): TenantReserve => ({
  ...reserve,
  spent: decayed(reserve, nowUs) + cost,
  spentAtUs: nowUs,
});

/** Spends tokens at hand. */
export const withSpent = (reserve: TenantReserve, cost: number, nowUs: Micros): TenantReserve =>
  withSpending({ ...reserve, grants: grantsLess(reserve.grants, cost) }, cost, nowUs);

/** What this router has been spending of a tenant's tokens, a second. */
export const spendingRateOf = (reserve: TenantReserve, nowUs: Micros): number =>
  (decayed(reserve, nowUs) * secondUs) / spendingSpanUs;
