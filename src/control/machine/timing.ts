import type { Micros } from '../../common/micros.js';

export const heartbeatSpanUs: Micros = 100_000;
export const electionSpanUs: Micros = 500_000;
/** For so long a leader's disk may be busy with one sync before its heartbeats end. */
export const busyDiskUs: Micros = 1_500_000;
export const resendSpanUs: Micros = 200_000;
export const rejoinSpanUs: Micros = 2_000_000;
/** A voter unheard for so long may be replaced by a learner that has caught up. */
export const deadSpanUs: Micros = 2_000_000;
export const forgottenLearnerUs: Micros = 60_000_000;
export const mostSentEntries = 64;
/** Texts of setups that go in one batch, be it to a partner or to the disk; one that is larger goes alone. */
export const mostTextChars = 1 << 20;
export const mostKeptEntries = 2048;
export const mostKeptSetups = 16;
