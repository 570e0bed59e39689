import type { Either } from 'purify-ts';
import type { Clock } from '../../common/clock/clock.js';
import { paused } from '../../common/clock/paused.js';
import type { Micros } from '../../common/micros.js';
import type { TypedError } from '../../common/typed-error.js';
import type { DurableRecord } from '../../control/log/durable-record.js';
import { documentCharsOf } from '../../control/machine/log-queries.js';
import { maxBatchDocumentChars } from '../../control/machine/parameters.js';
import { encodeDurableRecords } from '../../control/wire/durable-record-codec.js';
import type { DiskRing } from '../../disk/disk-ring.js';
import type { Counters } from '../counters.js';
import type { Log } from '../log.js';

/** Keeps records on the ring, however often the disk refuses them for a while. */
export type DurableWriter = {
  /** Whether all records are synced now; false once the disk has failed or the writer ends. */
  readonly persist: (records: readonly DurableRecord[]) => Promise<boolean>;
  /** Whether the disk refuses writes at the moment. */
  readonly refuses: () => boolean;
  /** For how long the present sync has run; undefined while none runs. */
  readonly stalledUs: () => Micros | undefined;
  readonly hasFailed: () => boolean;
  /** Refused writes are not tried again from now on. */
  readonly end: () => void;
};

export type DurableWriterPlan = {
  readonly ring: DiskRing;
  /** All that must stand at the head of the next ring file. */
  readonly snapshotRecords: () => readonly DurableRecord[];
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  /** Called once when the disk can no longer be written. */
  readonly fail: (error: TypedError) => void;
};

const refusedSpanUs: Micros = 200_000;

/** Records are kept together, unless the documents in them are too large for one batch. */
const batchesOf = (records: readonly DurableRecord[]): readonly (readonly DurableRecord[])[] => {
  if (records.length === 0) return [];
  const textChars = records
    .flatMap((record) => (record.type === 'entries' ? record.entries : []))
    .reduce((sum, entry) => sum + documentCharsOf(entry), 0);
  return textChars > maxBatchDocumentChars ? records.map((record) => [record]) : [records];
};

const mayPass = (kept: Either<TypedError, void>): boolean =>
  kept.caseOf({ Left: (error) => error.type === 'disk-refusal', Right: () => false });

/** Opens the writer of a ring. Until a batch is kept the caller must say nothing that rests on it. */
export const openDurableWriter = ({
  ring,
  snapshotRecords,
  clock,
  log,
  counters,
  fail,
}: DurableWriterPlan): DurableWriter => {
  let startedUs: Micros | undefined;
  let isRefusing = false;
  let isEnding = false;
  let isFailed = false;
  /** Whether the last append opened a new file, whose snapshot holds all records that are given. */
  let hasTurned = false;

  const appendUntilTaken = async (records: readonly DurableRecord[]): Promise<Either<TypedError, void>> => {
    const append = (): Promise<Either<TypedError, void>> => {
      hasTurned = false;
      return ring.append(encodeDurableRecords(records), () => {
        hasTurned = true;
        return encodeDurableRecords(snapshotRecords());
      });
    };
    let kept = await append();
    while (mayPass(kept) && !isEnding) {
      counters.count('disk.refusals');
      if (!isRefusing) kept.ifLeft((error) => log.change('disk refuses', { error }));
      isRefusing = true;
      await paused(clock, refusedSpanUs);
      kept = await append();
    }
    return kept;
  };

  const persistBatch = async (records: readonly DurableRecord[]): Promise<boolean> => {
    const batchStartedUs = clock.now();
    startedUs = batchStartedUs;
    const kept = await appendUntilTaken(records);
    counters.count('disk.syncs');
    counters.count('disk.syncUs', clock.now() - batchStartedUs);
    startedUs = undefined;
    if (isRefusing && kept.isRight()) log.change('disk takes writes again', {});
    isRefusing = false;
    kept.ifLeft((error) => {
      isFailed = true;
      if (!isEnding) fail(error);
    });
    return kept.isRight();
  };

  return {
    persist: async (records) => {
      for (const batch of batchesOf(records)) {
        if (!(await persistBatch(batch))) return false;
        if (hasTurned) return true;
      }
      return true;
    },
    refuses: () => isRefusing,
    stalledUs: () => (startedUs === undefined ? undefined : clock.now() - startedUs),
    hasFailed: () => isFailed,
    end: () => {
      isEnding = true;
    },
  };
};
