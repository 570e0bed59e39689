import type { Micros } from '../../common/micros.js';

export const heartbeatIntervalUs: Micros = 100_000;
export const electionTimeoutUs: Micros = 500_000;
/** A leader that has heard no majority of the voters for so long steps down. */
export const leaderSilenceUs: Micros = electionTimeoutUs * 2;
/** For so long a leader's disk may be busy with one sync before its heartbeats end. */
export const diskStallLimitUs: Micros = 1_500_000;
/** For how long a batch of entries or a snapshot piece may go without progress before it is sent again, at first. */
export const resendTimeoutUs: Micros = 200_000;
/** The longest retransmission timeout: it doubles up to here while there is no progress. */
export const maxResendTimeoutUs: Micros = 800_000;
/** A transfer that has made no progress for so long no longer holds back compaction. */
export const stalledTransferUs: Micros = 5_000_000;
/** How many times its usual size the log may reach while a transfer that makes progress holds back compaction. */
export const heldCompactionFactor = 4;
/** The most characters of an encoded snapshot that go in one message. */
export const snapshotPieceChars = 128 << 10;
export const rejoinTimeoutUs: Micros = 2_000_000;
/** A voter unheard for so long may be replaced by a learner that has caught up; one whose address has been taken over by that learner, earlier. */
export const deadMemberTimeoutUs: Micros = 2_000_000;
/** An answer of an address about the identity that lives there counts for so long after it was asked for. */
export const identifyTimeoutUs: Micros = 1_000_000;
/** A join that could not be confirmed or proposed for so long is dropped; its sender asks again. */
export const joinTimeoutUs: Micros = 3_000_000;
/** For so long a voter's notice that it is about to stop counts. */
export const leaveNoticeUs: Micros = 500_000;
export const maxJoinChecks = 16;
/** For so long a leader that is to stop tries to bring a successor up to date. */
export const transferTimeoutUs: Micros = 500_000;
export const learnerTimeoutUs: Micros = 60_000_000;
export const maxEntriesPerAppend = 64;
/** Texts of setups that go in one batch, be it to a partner or to the disk; one that is larger goes alone. */
export const maxAppendTextChars = 1 << 20;
export const maxLogEntries = 2048;
export const maxLogConfigurations = 16;
