import type { Micros } from '../../common/micros.js';
import type { ControlEffect } from '../../control/machine/control-effect.js';
import type { Replica } from '../../control/machine/replica.js';
import { heartbeatsOf } from '../../control/machine/replication.js';
import { diskStallLimitUs, heartbeatIntervalUs } from '../../control/machine/parameters.js';
import type { DurableWriter } from './durable-writer.js';

/**
 * Heartbeats that a leader sends while a disk sync is in progress, so that a slow sync does not cost it the leadership. They
 * are computed from the last synced replica. They stop when the disk refuses writes or the sync exceeds `diskStallLimitUs`,
 * so that another leader is elected.
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
