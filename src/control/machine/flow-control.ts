import type { Micros } from '../../common/micros.js';
import type { Progress } from './progress.js';
import { maxResendTimeoutUs, resendTimeoutUs } from './timing.js';

/**
 * Flow control towards one member: one batch of entries or one snapshot piece is under way at a time. It is sent
 * again after a timeout that doubles up to a bound, and that starts anew with progress only.
 */

/** Whether what was sent last may still be under way. */
export const isPaused = (progress: Progress, nowUs: Micros): boolean => nowUs < progress.pausedUntilUs;

/** Something was sent: no more before the member makes progress or the timeout has passed. */
export const withSend = (progress: Progress, nowUs: Micros): Progress => ({
  ...progress,
  pausedUntilUs: nowUs + progress.retransmitTimeoutUs,
  retransmitTimeoutUs: Math.min(progress.retransmitTimeoutUs * 2, maxResendTimeoutUs),
});

/** The member made progress, or was found elsewhere than assumed: send at once. */
export const withProgressMade = (progress: Progress): Progress => ({
  ...progress,
  pausedUntilUs: 0,
  retransmitTimeoutUs: resendTimeoutUs,
});

/** The member was heard; after a silence longer than the retransmission timeout its flow starts anew. */
export const withContact = (progress: Progress, round: number, nowUs: Micros): Progress => {
  const wasSilent = nowUs - progress.heardUs > maxResendTimeoutUs;
  const contacted = wasSilent ? withProgressMade(progress) : progress;
  return { ...contacted, heardUs: nowUs, heardRound: Math.max(progress.heardRound, round) };
};
