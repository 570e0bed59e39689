import type { Micros } from '../../common/micros.js';
import type { Command } from '../../control/log/command.js';
import type { Replica } from '../../control/machine/replica.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';

const restoreIntervalUs: Micros = 500_000;

/**
 * Restores the setup of a core that was bootstrapped anew after it lost its disks. The returned function yields the command
 * that proposes the newest record known through gossip, if this node leads and its own revision is older; at most once per
 * interval.
 */
export const openRestoreProposal = (): ((
  replica: Replica,
  record: SetupRecord | undefined,
  nowUs: Micros,
) => Command | undefined) => {
  let proposedUs = Number.NEGATIVE_INFINITY;
  return (replica, record, nowUs) => {
    const isOlder = record !== undefined && record.revision > (replica.state.record?.revision ?? 0);
    if (replica.role !== 'leader' || !isOlder || nowUs < proposedUs + restoreIntervalUs) return undefined;
    proposedUs = nowUs;
    return { type: 'restore', record };
  };
};
