import { deserialize, serialize } from 'bson';
import { Either, Left, Right } from 'purify-ts';
import { array, boolean, mixed, number, object, string } from 'yup';
import { validate } from '../../common/validate.js';
import { messageOf, typedError, type TypedError } from '../../common/typed-error.js';
import { literalType, unionGuard } from '../../common/union.js';
import type { DurableRecord } from '../log/durable-record.js';
import { entriesSchema } from './entry-schema.js';
import { decodeSnapshot, encodeSnapshot, snapshotSchema, type PlainSnapshot } from './snapshot-codec.js';

type SnapshotRecord = Extract<DurableRecord, { readonly type: 'snapshot' }>;
type PlainRecord =
  Exclude<DurableRecord, SnapshotRecord> | { readonly type: 'snapshot'; readonly snapshot: PlainSnapshot };

const isPlainRecord = unionGuard<PlainRecord>({
  identity: object({ type: literalType('identity'), identity: string().required(), founds: boolean().optional() }),
  offer: object({ type: literalType('offer'), offer: string().required() }),
  vote: object({
    type: literalType('vote'),
    term: number().required().integer().min(0),
    votedFor: string().optional().default(undefined),
  }),
  entries: object({ type: literalType('entries'), entries: entriesSchema }),
  snapshot: object({ type: literalType('snapshot'), snapshot: snapshotSchema }),
});

const batchSchema = object({ records: array(mixed(isPlainRecord).required()).required() }).required();

export const encodeDurableRecords = (records: readonly DurableRecord[]): Uint8Array =>
  serialize({
    records: records.map((record) =>
      record.type === 'snapshot' ? { type: 'snapshot', snapshot: encodeSnapshot(record.snapshot) } : record,
    ),
  });

/** Decodes a batch of persisted records; a batch that can't be parsed or validated is a `damaged-disk` error. */
export const decodeDurableRecords = (bytes: Uint8Array): Either<TypedError, readonly DurableRecord[]> => {
  try {
    return validate(batchSchema, deserialize(bytes))
      .mapLeft((faults) => typedError('damaged-disk', 'a persisted record does not match its schema', faults))
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
    (decoded, batch) =>
      decoded.chain((records) => decodeDurableRecords(batch).map((batchRecords) => [...records, ...batchRecords])),
    Right([]),
  );
