import type { Micros } from '../../common/micros.js';
import type { Progress } from './progress.js';
import { maxRetransmitTimeoutUs, initialRetransmitTimeoutUs } from './parameters.js';

/**
 * Flow control for replication to one member: at most one batch of entries or one snapshot piece is in flight. It is
 * retransmitted after a timeout with exponential back-off up to a limit; only progress of the member resets the
 * timeout.
 */

/** Whether the last send may still be in flight. */
export const isPaused = (progress: Progress, nowUs: Micros): boolean => nowUs < progress.pausedUntilUs;

/** Records a send: nothing more is sent until the member makes progress or the timeout has passed. */
export const recordSend = (progress: Progress, nowUs: Micros): Progress => ({
  ...progress,
  pausedUntilUs: nowUs + progress.retransmitTimeoutUs,
  retransmitTimeoutUs: Math.min(progress.retransmitTimeoutUs * 2, maxRetransmitTimeoutUs),
});

/**
 * Records that the member made progress, or that its log differs from what was assumed: the next send is due at once.
 */
export const recordProgress = (progress: Progress): Progress => ({
  ...progress,
  pausedUntilUs: 0,
  retransmitTimeoutUs: initialRetransmitTimeoutUs,
});

/** Records a reply of the member; after a silence longer than the maximal retransmission timeout, the flow is reset. */
export const recordContact = (progress: Progress, round: number, nowUs: Micros): Progress => {
  const wasSilent = nowUs - progress.lastContactUs > maxRetransmitTimeoutUs;
  const flow = wasSilent ? recordProgress(progress) : progress;
  return { ...flow, lastContactUs: nowUs, acknowledgedRound: Math.max(progress.acknowledgedRound, round) };
};
