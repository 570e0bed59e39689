import type { Micros } from '../../../common/micros.js';
import type { ExchangeView } from '../view/exchange-view.js';

/** When a server that has not begun to answer becomes too slow for a repeatable exchange. */
export const tooSlowUsOf = (exchange: ExchangeView): Micros =>
  exchange.server !== undefined && exchange.rule.repeatable && !exchange.started
    ? exchange.deliveredUs + exchange.rule.firstPieceUs
    : Number.POSITIVE_INFINITY;

/** When an exchange's next wait or budget ends. */
export const wakeUsOf = (exchange: ExchangeView): Micros =>
  Math.min(
    exchange.dueUs,
    exchange.follows === undefined ? Number.POSITIVE_INFINITY : (exchange.holdUntilUs ?? exchange.dueUs),
    tooSlowUsOf(exchange),
  );
