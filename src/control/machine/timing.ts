import type { Micros } from '../../common/micros.js';

export const heartbeatIntervalUs: Micros = 100_000;
export const electionTimeoutUs: Micros = 500_000;
/** For so long a leader's disk may be busy with one sync before its heartbeats end. */
export const diskStallLimitUs: Micros = 1_500_000;
export const resendTimeoutUs: Micros = 200_000;
export const rejoinTimeoutUs: Micros = 2_000_000;
/** A voter unheard for so long may be replaced by a learner that has caught up. */
export const deadMemberTimeoutUs: Micros = 2_000_000;
export const learnerTimeoutUs: Micros = 60_000_000;
export const maxEntriesPerAppend = 64;
/** Texts of setups that go in one batch, be it to a partner or to the disk; one that is larger goes alone. */
export const maxAppendTextChars = 1 << 20;
export const maxLogEntries = 2048;
export const maxLogConfigurations = 16;
