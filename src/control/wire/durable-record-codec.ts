import { deserialize, serialize } from 'bson';
import { Either, Left, Right } from 'purify-ts';
import { array, boolean, mixed, number, object, string } from 'yup';
import { checked } from '../../common/checked.js';
import { messageOf, typedError, type TypedError } from '../../common/typed-error.js';
import { typed, unionGuard } from '../../common/union.js';
import type { DurableRecord } from '../log/durable-record.js';
import { entriesSchema } from './entry-schema.js';
import { decodeSnapshot, encodeSnapshot, snapshotSchema, type PlainSnapshot } from './snapshot-codec.js';

type KeptSnapshot = Extract<DurableRecord, { readonly type: 'snapshot' }>;
type PlainRecord =
  Exclude<DurableRecord, KeptSnapshot> | { readonly type: 'snapshot'; readonly snapshot: PlainSnapshot };

const isPlainRecord = unionGuard<PlainRecord>({
  identity: object({ type: typed('identity'), identity: string().required(), founds: boolean().optional() }),
  offer: object({ type: typed('offer'), offer: string().required() }),
  vote: object({
    type: typed('vote'),
    term: number().required().integer().min(0),
    votedFor: string().optional().default(undefined),
  }),
  entries: object({ type: typed('entries'), entries: entriesSchema }),
  snapshot: object({ type: typed('snapshot'), snapshot: snapshotSchema }),
});

const batchSchema = object({ records: array(mixed(isPlainRecord).required()).required() }).required();

export const encodeDurableRecords = (records: readonly DurableRecord[]): Uint8Array =>
  serialize({
    records: records.map((record) =>
      record.type === 'snapshot' ? { type: 'snapshot', snapshot: encodeSnapshot(record.snapshot) } : record,
    ),
  });

/** Reads a batch of kept records; one that does not hold is damage. */
export const decodeDurableRecords = (bytes: Uint8Array): Either<TypedError, readonly DurableRecord[]> => {
  try {
    return checked(batchSchema, deserialize(bytes))
      .mapLeft((faults) => typedError('damaged-disk', 'a kept record is not of a known form', faults))
      .map(({ records }) =>
        records.map((record) =>
          record.type === 'snapshot' ? { type: 'snapshot', snapshot: decodeSnapshot(record.snapshot) } : record,
        ),
      );
  } catch (thrown) {
    return Left(typedError('damaged-disk', messageOf(thrown)));
  }
};

export const decodeDurableBatches = (batches: readonly Uint8Array[]): Either<TypedError, readonly DurableRecord[]> =>
  batches.reduce<Either<TypedError, readonly DurableRecord[]>>(
    (readSoFar, batch) =>
      readSoFar.chain((records) => decodeDurableRecords(batch).map((more) => [...records, ...more])),
    Right([]),
  );
