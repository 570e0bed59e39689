import type { Micros } from '../../common/micros.js';
import type { Command } from '../../control/log/command.js';
import type { Replica } from '../../control/machine/replica.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';

const restoreSpanUs: Micros = 500_000;

/**
 * Gives a core that founded itself anew what the nodes still hold, before it takes anything else: the command to
 * propose, at most once in a while, where a leader has an older revision than the nodes.
 */
export const openRestoreProposal = (): ((
  replica: Replica,
  record: SetupRecord | undefined,
  nowUs: Micros,
) => Command | undefined) => {
  let proposedUs = Number.NEGATIVE_INFINITY;
  return (replica, record, nowUs) => {
    const isOlder = record !== undefined && record.revision > (replica.state.record?.revision ?? 0);
    if (replica.role !== 'leader' || !isOlder || nowUs < proposedUs + restoreSpanUs) return undefined;
    proposedUs = nowUs;
    return { type: 'restore', record };
  };
};
