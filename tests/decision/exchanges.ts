import type { DecisionEvent } from '../../src/decision/machine/event/decision-event.js';
import { deliveriesIn, type Delivery, type Player } from './player.js';

/** Plays an exchange and completes each delivery that follows at once. */
export const runExchange = (
  player: Player,
  exchange: { readonly at: number; readonly exchange: string; readonly kind?: string; readonly prefix: string },
): readonly Delivery[] => {
  const delivered = deliveriesIn(player.play({ type: 'exchange', kind: 'ask', ...exchange }));
  for (const deliver of delivered) completeAttempt(player, exchange.at, deliver);
  return delivered;
};

/** Plays the events of a successful attempt. */
export const completeAttempt = (player: Player, at: number, deliver: Delivery): void => {
  const attempt = { at, exchange: deliver.exchange, attempt: deliver.attempt };
  const events: readonly DecisionEvent[] = [
    { type: 'sent', ...attempt },
    { type: 'firstPiece', ...attempt },
    { type: 'done', ...attempt },
  ];
  player.play(...events);
};
