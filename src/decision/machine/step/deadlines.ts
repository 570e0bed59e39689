import type { Micros } from '../../../common/micros.js';
import type { ExchangeView } from '../view/exchange-view.js';

/** When a repeatable exchange is retried elsewhere unless its first piece has arrived; infinite if that does not apply. */
export const firstPieceDeadlineUsOf = (exchange: ExchangeView): Micros =>
  exchange.server !== undefined && exchange.rule.repeatable && !exchange.started
    ? exchange.deliveredUs + exchange.rule.firstPieceUs
    : Number.POSITIVE_INFINITY;

/** The earliest deadline of an exchange: budget, hold or first piece. */
export const nextDeadlineUsOf = (exchange: ExchangeView): Micros =>
  Math.min(
    exchange.dueUs,
    exchange.followsFlight === undefined ? Number.POSITIVE_INFINITY : (exchange.holdUntilUs ?? exchange.dueUs),
    firstPieceDeadlineUsOf(exchange),
  );
