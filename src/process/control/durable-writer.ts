import type { Either } from 'purify-ts';
import type { Clock } from '../../common/clock/clock.js';
import { delay } from '../../common/clock/delay.js';
import type { Micros } from '../../common/micros.js';
import type { TypedError } from '../../common/typed-error.js';
import type { DurableRecord } from '../../control/log/durable-record.js';
import { documentCharsOf } from '../../control/machine/log-queries.js';
import { maxBatchDocumentChars } from '../../control/machine/parameters.js';
import { encodeDurableRecords } from '../../control/wire/durable-record-codec.js';
import type { DiskRing } from '../../disk/disk-ring.js';
import type { Counters } from '../counters.js';
import type { Log } from '../log.js';

/** Writes records to the disk ring and retries while the disk refuses writes (for example because it is full). */
export type DurableWriter = {
  /** Resolves to true once all records are synced, to false if the disk has failed or the writer has ended. */
  readonly persist: (records: readonly DurableRecord[]) => Promise<boolean>;
  /** Whether the last write was refused and is being retried. */
  readonly refuses: () => boolean;
  /** The duration of the write in progress; undefined while there is none. */
  readonly stalledUs: () => Micros | undefined;
  readonly hasFailed: () => boolean;
  /** Stops retrying refused writes. */
  readonly end: () => void;
};

export type DurableWriterDependencies = {
  readonly ring: DiskRing;
  /** The records that a new ring file begins with: a snapshot of the whole replica. */
  readonly snapshotRecords: () => readonly DurableRecord[];
  readonly clock: Clock;
  readonly log: Log;
  readonly counters: Counters;
  /** Called once when the disk has failed for good, unless the writer has ended. */
  readonly fail: (error: TypedError) => void;
};

const retryIntervalUs: Micros = 200_000;

/** All records in one batch, unless their documents are too large for one: then each record is a batch. */
const batchesOf = (records: readonly DurableRecord[]): readonly (readonly DurableRecord[])[] => {
  if (records.length === 0) return [];
  const textChars = records
    .flatMap((record) => (record.type === 'entries' ? record.entries : []))
    .reduce((sum, entry) => sum + documentCharsOf(entry), 0);
  return textChars > maxBatchDocumentChars ? records.map((record) => [record]) : [records];
};

const isRetryable = (written: Either<TypedError, void>): boolean =>
  written.caseOf({ Left: (error) => error.type === 'disk-refusal', Right: () => false });

/** Opens the writer of a ring. The user must not send any message that depends on a record before that record is synced. */
export const openDurableWriter = ({
  ring,
  snapshotRecords,
  clock,
  log,
  counters,
  fail,
}: DurableWriterDependencies): DurableWriter => {
  let writeStartedUs: Micros | undefined;
  let isRefusing = false;
  let isEnding = false;
  let isFailed = false;
  /** Whether the last append opened a new ring file, whose snapshot already contains the remaining records. */
  let hasRotated = false;

  const appendWithRetry = async (records: readonly DurableRecord[]): Promise<Either<TypedError, void>> => {
    const append = (): Promise<Either<TypedError, void>> => {
      hasRotated = false;
      return ring.append(encodeDurableRecords(records), () => {
        hasRotated = true;
        return encodeDurableRecords(snapshotRecords());
      });
    };
    let written = await append();
    while (isRetryable(written) && !isEnding) {
      counters.count('disk.refusals');
      if (!isRefusing) written.ifLeft((error) => log.change('disk refuses', { error }));
      isRefusing = true;
      await delay(clock, retryIntervalUs);
      written = await append();
    }
    return written;
  };

  const persistBatch = async (records: readonly DurableRecord[]): Promise<boolean> => {
    const batchStartedUs = clock.now();
    writeStartedUs = batchStartedUs;
    const written = await appendWithRetry(records);
    counters.count('disk.syncs');
    counters.count('disk.syncUs', clock.now() - batchStartedUs);
    writeStartedUs = undefined;
    if (isRefusing && written.isRight()) log.change('disk accepts writes again', {});
    isRefusing = false;
    written.ifLeft((error) => {
      isFailed = true;
      if (!isEnding) fail(error);
    });
    return written.isRight();
  };

  return {
    persist: async (records) => {
      for (const batch of batchesOf(records)) {
        if (!(await persistBatch(batch))) return false;
        if (hasRotated) return true;
      }
      return true;
    },
    refuses: () => isRefusing,
    stalledUs: () => (writeStartedUs === undefined ? undefined : clock.now() - writeStartedUs),
    hasFailed: () => isFailed,
    end: () => {
      isEnding = true;
    },
  };
};
