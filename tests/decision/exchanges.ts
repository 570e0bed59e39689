import type { DecisionEvent } from '../../src/decision/machine/event/decision-event.js';
import { deliversOf, type Deliver, type Player } from './player.js';

/** Plays an exchange and completes each delivery that follows at once. */
export const ranWell = (
  player: Player,
  exchange: { readonly at: number; readonly exchange: string; readonly kind?: string; readonly prefix: string },
): readonly Deliver[] => {
  const delivered = deliversOf(player.play({ type: 'exchange', kind: 'ask', ...exchange }));
  for (const deliver of delivered) endWell(player, exchange.at, deliver);
  return delivered;
};

/** Plays the events of a successful attempt. */
export const endWell = (player: Player, at: number, deliver: Deliver): void => {
  const attempt = { at, exchange: deliver.exchange, attempt: deliver.attempt };
  const events: readonly DecisionEvent[] = [
    { type: 'sent', ...attempt },
    { type: 'firstPiece', ...attempt },
    { type: 'done', ...attempt },
  ];
  player.play(...events);
};
