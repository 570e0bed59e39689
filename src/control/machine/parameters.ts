import type { Micros } from '../../common/micros.js';

/** The time-outs and size limits of the replicated log. */

export const heartbeatIntervalUs: Micros = 100_000;
export const electionTimeoutUs: Micros = 500_000;
/** A leader without contact to a majority of the voters for this time steps down (check quorum). */
export const checkQuorumTimeoutUs: Micros = electionTimeoutUs * 2;
/** How long a leader sends heartbeats while its disk is busy with one sync. */
export const diskStallLimitUs: Micros = 1_500_000;
/** The initial retransmission timeout of a batch of entries or a snapshot piece. */
export const initialRetransmitTimeoutUs: Micros = 200_000;
/** The maximal retransmission timeout: it doubles up to this value while there is no progress. */
export const maxRetransmitTimeoutUs: Micros = 800_000;
/** A snapshot transfer without progress for this time no longer defers compaction. */
export const transferStallTimeoutUs: Micros = 5_000_000;
/** The factor by which the log may exceed its size limits while compaction is deferred by a snapshot transfer. */
export const deferredCompactionFactor = 4;
/** The size limit of a snapshot piece, in characters of the encoded snapshot. */
export const maxSnapshotPieceChars = 128 << 10;
/** After this time without contact to a leader, a member sends join requests to all known addresses. */
export const rejoinTimeoutUs: Micros = 2_000_000;
/**
 * A voter without contact for this time may be replaced by a caught-up learner; sooner if the learner runs at its
 * address.
 */
export const deadVoterTimeoutUs: Micros = 2_000_000;
/** How long after an `identify` message a reply to it is accepted. */
export const identifyTimeoutUs: Micros = 1_000_000;
/** A join that could not be confirmed or proposed within this time is dropped; its sender repeats it. */
export const joinTimeoutUs: Micros = 3_000_000;
/** How long a voter's notice that it is about to stop is valid. */
export const leaveNoticeLifetimeUs: Micros = 500_000;
/** The number of joins that a leader validates at a time; further ones are ignored until their senders repeat them. */
export const maxJoinChecks = 16;
/** How long a leader that is about to stop tries to bring a successor up to date. */
export const transferTimeoutUs: Micros = 500_000;
/** A learner without contact for this time is removed. */
export const learnerTimeoutUs: Micros = 60_000_000;
export const maxEntriesPerAppend = 64;
/** The size limit of the operators' documents in one batch, to a member or to the disk; a larger one goes alone. */
export const maxBatchDocumentChars = 1 << 20;
export const maxLogEntries = 2048;
export const maxLogSetups = 16;
