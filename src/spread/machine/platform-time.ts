import { raisedBound } from '../../common/clock/time-bound.js';
import type { Micros } from '../../common/micros.js';
import type { SpreadStep } from './spread-step.js';
import { stepped } from './spread-step.js';
import type { SpreadView } from './spread-view.js';

/** Raises the lower bound of the platform's time; a time below the bound changes nothing. */
export const withTime = (view: SpreadView, platformUs: Micros | undefined): SpreadStep => {
  if (platformUs === undefined) return stepped(view);
  const platform = raisedBound(view.platform, platformUs, view.atUs);
  return platform === view.platform ? stepped(view) : stepped({ ...view, platform }, { type: 'time', platformUs });
};
