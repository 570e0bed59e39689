import { EitherAsync, type Either } from 'purify-ts';
import type { TypedError } from '../../common/typed-error.js';
import { createReplica, defaultVoterCount, type Replica } from '../../control/machine/replica.js';
import { stateLimitBytesOf } from '../../control/machine/state-limit.js';
import { recoverReplica } from '../../control/persistence/recovery.js';
import { checkDurableRecords } from '../../control/persistence/record-rules.js';
import { decodeDurableBatches, encodeDurableRecords } from '../../control/wire/durable-record-codec.js';
import type { DiskRing } from '../../disk/disk-ring.js';
import type { ControlSettings } from '../settings/control-settings.js';

const newReplicaOf = (settings: ControlSettings, freshName: () => string): Replica =>
  createReplica(
    `${settings.node}-${freshName()}`,
    settings.partners,
    settings.seeds,
    settings.founds ?? true,
    settings.voters ?? defaultVoterCount,
    stateLimitBytesOf(settings.ringFileBytes),
  );

const recoverOrCreate = async (
  ring: DiskRing,
  settings: ControlSettings,
  freshName: () => string,
): Promise<Either<TypedError, Replica>> => {
  const { snapshot, records } = ring.recovered;
  const recovered = [...(snapshot === undefined ? [] : [snapshot]), ...records];
  const newReplica = newReplicaOf(settings, freshName);
  if (recovered.length > 0)
    return decodeDurableBatches(recovered)
      .chain((decoded) => checkDurableRecords(settings.data, decoded))
      .map((decoded) => recoverReplica(newReplica, decoded));
  const written = await ring.append(new Uint8Array(0), () =>
    encodeDurableRecords([{ type: 'identity', identity: newReplica.identity, founds: newReplica.founds }]),
  );
  return written.map(() => newReplica);
};

/** Recovers the replica stored in a ring, or creates and stores one if the ring is empty. Closes the ring on failure. */
export const openReplica = (
  ring: DiskRing,
  settings: ControlSettings,
  freshName: () => string,
): EitherAsync<TypedError, Replica> =>
  EitherAsync(async ({ liftEither }) => {
    const opened = await recoverOrCreate(ring, settings, freshName);
    if (opened.isLeft()) await ring.close();
    return liftEither(opened);
  });
