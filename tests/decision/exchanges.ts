import type { DecisionEvent } from '../../src/decision/machine/event/decision-event.js';
import { deliversOf, type Deliver, type Player } from './player.js';

/** Sends an exchange and lets every delivery that follows end well at once. */
export const ranWell = (
  player: Player,
  exchange: { readonly at: number; readonly exchange: string; readonly kind?: string; readonly prefix: string },
): readonly Deliver[] => {
  const delivered = deliversOf(player.play({ type: 'exchange', kind: 'ask', ...exchange }));
  for (const deliver of delivered) endWell(player, exchange.at, deliver);
  return delivered;
};

export const endWell = (player: Player, at: number, deliver: Deliver): void => {
  const named = { at, exchange: deliver.exchange, attempt: deliver.attempt };
  const events: readonly DecisionEvent[] = [
    { type: 'sent', ...named },
    { type: 'firstPiece', ...named },
    { type: 'done', ...named },
  ];
  player.play(...events);
};
