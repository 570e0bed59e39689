import type { Micros } from '../../common/micros.js';
import type { ControlEffect } from '../../control/machine/control-effect.js';
import type { Replica } from '../../control/machine/replica.js';
import { heartbeatsOf } from '../../control/machine/replication.js';
import { diskStallLimitUs, heartbeatIntervalUs } from '../../control/machine/parameters.js';
import type { DurableWriter } from './durable-writer.js';

/**
 * The heartbeats of a leader while its disk is busy with one sync. They rest on the replica as it was synced last, and
 * they end when the disk refuses or the sync takes longer than the limit, so that another leader is elected.
 */
export const openStallHeartbeats = (
  writer: Pick<DurableWriter, 'refuses' | 'stalledUs'>,
): ((syncedReplica: Replica, nowUs: Micros) => readonly ControlEffect[]) => {
  let sentUs: Micros = 0;
  return (syncedReplica, nowUs) => {
    const stalledUs = writer.stalledUs();
    const isBusy = !writer.refuses() && stalledUs !== undefined && stalledUs < diskStallLimitUs;
    if (!isBusy || nowUs - sentUs < heartbeatIntervalUs) return [];
    sentUs = nowUs;
    return heartbeatsOf(syncedReplica);
  };
};
