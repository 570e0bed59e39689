import type { Micros } from '../../common/micros.js';
import { positionOf } from '../../decision/ring/position.js';
import type { QuotaReserveState, TenantReserve } from './quota-reserve-state.js';

const isDry = (reserve: TenantReserve, store: string, needed: number, nowUs: Micros): boolean => {
  const dry = reserve.dry.get(store);
  return dry !== undefined && nowUs < dry.untilUs && needed >= dry.needed;
};

const leftAt = (reserve: TenantReserve, store: string): number => reserve.dry.get(store)?.left ?? 0;

/** The stores, each router and tenant beginning at another one, so that all shares are used alike. */
const storesInTurn = ({ node, stores }: QuotaReserveState, tenant: string, preferred: string | undefined) => {
  const first =
    preferred !== undefined && stores.includes(preferred)
      ? stores.indexOf(preferred)
      : positionOf(`${node} ${tenant}`) % Math.max(1, stores.length);
  return [...stores.slice(first), ...stores.slice(0, first)];
};

/**
 * The store to ask next: the one that granted last, then the others in turn, but none that is known to have too little or
 * was asked in this round. One that did not answer of late is asked only where there is no other.
 */
export const chooseStore = (
  state: QuotaReserveState,
  tenant: string,
  reserve: TenantReserve,
  needed: number,
  nowUs: Micros,
): string | undefined => {
  const isSuspect = (store: string): boolean => nowUs < (state.suspects.get(store) ?? 0);
  const unasked = storesInTurn(state, tenant, reserve.preferred).filter((store) => !reserve.asked.includes(store));
  const open = reserve.isCollecting
    ? [...unasked].sort((left, right) => leftAt(reserve, right) - leftAt(reserve, left))
    : unasked.filter((store) => !isDry(reserve, store, needed, nowUs));
  const sound = open.find((store) => !isSuspect(store));
  if (sound !== undefined) return sound;
  return state.stores.every(isSuspect) ? open[0] : undefined;
};

/** What the stores that refused of late have left, all together. */
export const leftTogether = (reserve: TenantReserve, nowUs: Micros): number =>
  [...reserve.dry.values()].reduce((sum, { left, untilUs }) => (nowUs < untilUs ? sum + left : sum), 0);

/** When the first store that is known to have too little may have enough again; undefined where none is known to. */
export const earliestRefillUs = (reserve: TenantReserve, needed: number, nowUs: Micros): Micros | undefined => {
  const dry = [...reserve.dry.values()].filter(({ untilUs, needed: lacked }) => nowUs < untilUs && needed >= lacked);
  return dry.length === 0 ? undefined : Math.min(...dry.map(({ untilUs }) => untilUs));
};
