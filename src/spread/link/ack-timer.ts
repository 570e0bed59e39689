import type { Micros } from '../../common/micros.js';

/** How long the receiver of a connection has left frames unacknowledged. */
export type AckTimer = {
  readonly lastSentUs: Micros;
  /** When the first unacknowledged frame was sent; undefined while all frames are acknowledged. */
  readonly unackedSinceUs: Micros | undefined;
};

/** While frames arrive, a receiver writes an acknowledgement byte once per interval. */
export const ackIntervalUs: Micros = 400_000;
/** A receiver that acknowledges nothing for this long has lost power or is cut off, even if the socket stays open. */
const ackTimeoutUs: Micros = 1_500_000;
/** After such a pause between frames, the receiver need not acknowledge the earlier ones. */
const pauseUs: Micros = 800_000;

/** The timer while all frames are acknowledged. */
export const idleAckTimer: AckTimer = { lastSentUs: Number.NEGATIVE_INFINITY, unackedSinceUs: undefined };

/** The timer after a frame was sent: it starts with the first unacknowledged frame. */
export const ackTimerAfterSend = ({ lastSentUs, unackedSinceUs }: AckTimer, nowUs: Micros): AckTimer => ({
  lastSentUs: nowUs,
  unackedSinceUs: unackedSinceUs === undefined || nowUs > lastSentUs + pauseUs ? nowUs : unackedSinceUs,
});

/** Whether the receiver has acknowledged nothing for the time-out. */
export const isAckOverdue = ({ unackedSinceUs }: AckTimer, nowUs: Micros): boolean =>
  unackedSinceUs !== undefined && nowUs > unackedSinceUs + ackTimeoutUs;
