import type { Micros } from '../../common/micros.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { WarmupEpoch } from '../../setup/document/warmup-epoch.js';

const maxEpochs = 256;
/** No booking is longer, so warm-up figures that were replaced earlier than this are not needed any more. */
const maxBookingUs: Micros = 3_600_000_000;

/** The history of warm-up figures after a new setup. Unchanged figures start no new epoch. */
export const warmupEpochsAfter = (previous: SetupRecord | undefined, epoch: WarmupEpoch): readonly WarmupEpoch[] => {
  const previousEpochs = previous?.epochs ?? [];
  const newestEpoch = previousEpochs[previousEpochs.length - 1];
  return newestEpoch !== undefined && JSON.stringify(newestEpoch.warmup) === JSON.stringify(epoch.warmup)
    ? previousEpochs
    : [
        ...previousEpochs.filter(
          (_, index) => (previousEpochs[index + 1] ?? epoch).sinceUs > epoch.sinceUs - maxBookingUs,
        ),
        epoch,
      ].slice(-maxEpochs);
};
