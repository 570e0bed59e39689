import type { Micros } from '../../common/micros.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { WarmupEpoch } from '../../setup/document/warmup-epoch.js';

const maxEpochs = 256;
/** No booking is longer; figures that were replaced so long ago price nothing any more. */
const longestBookingUs: Micros = 3_600_000_000;

/** The warm-up figures over time after a new configuration: unchanged figures begin no new epoch. */
export const epochsAfter = (former: SetupRecord | undefined, epoch: WarmupEpoch): readonly WarmupEpoch[] => {
  const formerEpochs = former?.epochs ?? [];
  const newestEpoch = formerEpochs[formerEpochs.length - 1];
  return newestEpoch !== undefined && JSON.stringify(newestEpoch.warmup) === JSON.stringify(epoch.warmup)
    ? formerEpochs
    : [
        ...formerEpochs.filter(
          (_, place) => (formerEpochs[place + 1] ?? epoch).sinceUs > epoch.sinceUs - longestBookingUs,
        ),
        epoch,
      ].slice(-maxEpochs);
};
