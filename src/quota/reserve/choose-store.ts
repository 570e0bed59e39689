import type { Micros } from '../../common/micros.js';
import { positionOf } from '../../decision/ring/position.js';
import type { QuotaReserveState, TenantReserve } from './quota-reserve-state.js';

const isKnownExhausted = (reserve: TenantReserve, store: string, needed: number, nowUs: Micros): boolean => {
  const refusal = reserve.exhaustedStores.get(store);
  return refusal !== undefined && nowUs < refusal.untilUs && needed >= refusal.needed;
};

const remainingAt = (reserve: TenantReserve, store: string): number => reserve.exhaustedStores.get(store)?.left ?? 0;

/** The stores in round-robin order from the preferred one, or from one hashed from router and tenant to spread the load. */
const storesInOrder = ({ node, stores }: QuotaReserveState, tenant: string, preferred: string | undefined) => {
  const first =
    preferred !== undefined && stores.includes(preferred)
      ? stores.indexOf(preferred)
      : positionOf(`${node} ${tenant}`) % Math.max(1, stores.length);
  return [...stores.slice(first), ...stores.slice(0, first)];
};

/**
 * The store to send the next quota request to: the one that granted last, then the others in turn. Skips stores that were
 * tried in this round or are known to be exhausted; a collecting round takes exhausted stores too, the fullest first. A
 * suspect store is chosen only if all stores are suspect. Undefined if no store remains.
 */
export const chooseStore = (
  state: QuotaReserveState,
  tenant: string,
  reserve: TenantReserve,
  needed: number,
  nowUs: Micros,
): string | undefined => {
  const isSuspect = (store: string): boolean => nowUs < (state.suspects.get(store) ?? 0);
  const untried = storesInOrder(state, tenant, reserve.preferredStore).filter(
    (store) => !reserve.asked.includes(store),
  );
  const candidates = reserve.isCollecting
    ? [...untried].sort((left, right) => remainingAt(reserve, right) - remainingAt(reserve, left))
    : untried.filter((store) => !isKnownExhausted(reserve, store, needed, nowUs));
  const healthy = candidates.find((store) => !isSuspect(store));
  if (healthy !== undefined) return healthy;
  return state.stores.every(isSuspect) ? candidates[0] : undefined;
};

/** Tokens left at all stores whose last refusal is still current. */
export const totalRemaining = (reserve: TenantReserve, nowUs: Micros): number =>
  [...reserve.exhaustedStores.values()].reduce((sum, { left, untilUs }) => (nowUs < untilUs ? sum + left : sum), 0);

/** When the first exhausted store may have `needed` tokens again; undefined if no store is known to lack them. */
export const earliestRetryAtUs = (reserve: TenantReserve, needed: number, nowUs: Micros): Micros | undefined => {
  const exhausted = [...reserve.exhaustedStores.values()].filter(
    ({ untilUs, needed: refusedNeed }) => nowUs < untilUs && needed >= refusedNeed,
  );
  return exhausted.length === 0 ? undefined : Math.min(...exhausted.map(({ untilUs }) => untilUs));
};
