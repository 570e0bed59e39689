import { raiseBound } from '../../common/clock/time-bound.js';
import type { Micros } from '../../common/micros.js';
import type { GossipStep } from './gossip-step.js';
import { withEffects } from './gossip-step.js';
import type { GossipView } from './gossip-view.js';

/** Raises the lower bound of the platform's time; a time below the bound changes nothing. */
export const raisePlatformTime = (view: GossipView, platformUs: Micros | undefined): GossipStep => {
  if (platformUs === undefined) return withEffects(view);
  const platform = raiseBound(view.platform, platformUs, view.atUs);
  return platform === view.platform
    ? withEffects(view)
    : withEffects({ ...view, platform }, { type: 'time', platformUs });
};
