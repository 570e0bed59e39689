import type { Micros } from '../../common/micros.js';
import type { Grant, TenantReserve } from './quota-reserve-state.js';

/** Time constant of the exponentially decaying average of a tenant's spending. */
const spendingDecayUs: Micros = 3_000_000;
const secondUs = 1_000_000;

/** Deducts tokens from grants, from those that expire first. */
const deductTokens = (grants: readonly Grant[], spent: number): readonly Grant[] => {
  let left = spent;
  return grants.flatMap(({ tokens, expiresUs }) => {
    const deducted = Math.min(left, tokens);
    left -= deducted;
    return tokens > deducted ? [{ tokens: tokens - deducted, expiresUs }] : [];
  });
};

/** Drops expired grants, then pays the debt from the remaining ones. */
export const settleGrants = (reserve: TenantReserve, nowUs: Micros): TenantReserve => {
  const grants = reserve.grants.filter(({ expiresUs }) => expiresUs > nowUs);
  if (reserve.debt === 0) return grants.length === reserve.grants.length ? reserve : { ...reserve, grants };
  const paid = Math.min(reserve.debt, totalTokens(grants));
  return { ...reserve, debt: reserve.debt - paid, grants: deductTokens(grants, paid) };
};

const totalTokens = (grants: readonly Grant[]): number => grants.reduce((sum, { tokens }) => sum + tokens, 0);

/** Tokens that can be spent: the grants less the debt. */
export const spendableTokens = ({ grants, debt }: TenantReserve): number => Math.max(0, totalTokens(grants) - debt);

export const addGrant = (reserve: TenantReserve, grant: Grant): TenantReserve =>
  grant.tokens <= 0
    ? reserve
    : { ...reserve, grants: [...reserve.grants, grant].sort((left, right) => left.expiresUs - right.expiresUs) };

const decayedSpending = ({ spent, spentAtUs }: TenantReserve, nowUs: Micros): number =>
  spent * Math.exp(-Math.max(0, nowUs - spentAtUs) / spendingDecayUs);

/** Adds to the spending average only; the grants are unchanged. */
export const recordSpending = (reserve: TenantReserve, cost: number, nowUs: Micros): TenantReserve => ({
  ...reserve,
  spent: decayedSpending(reserve, nowUs) + cost,
  spentAtUs: nowUs,
});

/** Spends granted tokens and adds them to the spending average. */
export const spendTokens = (reserve: TenantReserve, cost: number, nowUs: Micros): TenantReserve =>
  recordSpending({ ...reserve, grants: deductTokens(reserve.grants, cost) }, cost, nowUs);

/** Recent average of the tokens that this router spends for a tenant, per second. */
export const spendingRateOf = (reserve: TenantReserve, nowUs: Micros): number =>
  (decayedSpending(reserve, nowUs) * secondUs) / spendingDecayUs;
