import { sendDigests } from './digest.js';
import type { GossipEffect } from './gossip-effect.js';
import type { GossipStep } from './gossip-step.js';
import { andThen, withEffects } from './gossip-step.js';
import type { GossipView } from './gossip-view.js';
import { controlNodeTargets, pushTargets } from './targets.js';

/** The fan-out of a push at the node where a change originates, and at each node that receives it. */
const originFanOut = 8;
const relayFanOut = 3;

const fanOutOf = (from: string | undefined): number => (from === undefined ? originFanOut : relayFanOut);

/** The fan-out at a router that has a reading stamp from a control node, which pushes to its share of routers itself. */
const fanOutAfterControlNode = 1;

const isFromControlNode = (view: GossipView, from: string | undefined): boolean =>
  from !== undefined && view.partners.get(from)?.partner.role === 'control';

/** Sends digests to random peers; a control node adds the other control nodes and its own share of the routers. */
const pushTo = (view: GossipView, count: number, from: string | undefined): GossipStep => {
  const { targets, view: drawnView } = pushTargets(view, count, from);
  const controlAddresses = controlNodeTargets(drawnView).filter((address) => address !== from);
  return sendDigests(drawnView, [...new Set([...controlAddresses, ...targets])]);
};

/**
 * Pushes a change at once: digests go to all peers of a small fleet, else to some, which relay it. Receivers pull the
 * content with an inquiry.
 */
export const pushDigests = (view: GossipView, from?: string): GossipStep => pushTo(view, fanOutOf(from), from);

/**
 * Pushes the stamp of a list reading. Readings happen twice a second all day, so a router that has the stamp from a
 * control node relays it to one peer only; a node that misses it pulls when its latest stamp becomes stale.
 */
export const pushReadingStamp = (view: GossipView, from?: string): GossipStep =>
  pushTo(view, isFromControlNode(view, from) ? fanOutAfterControlNode : fanOutOf(from), from);

/** Emits the effect of a change on this node and pushes the change to peers. */
export const announceChange = (view: GossipView, effect: GossipEffect, from?: string): GossipStep =>
  andThen(withEffects(view, effect), (next) => pushDigests(next, from));
