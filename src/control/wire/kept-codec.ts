import { deserialize, serialize } from 'bson';
import { Either, Left, Right } from 'purify-ts';
import { array, boolean, mixed, number, object, string } from 'yup';
import { checked } from '../../common/checked.js';
import { messageOf, typedError, type TypedError } from '../../common/typed-error.js';
import { typed, unionGuard } from '../../common/union.js';
import type { KeptRecord } from '../log/kept-record.js';
import { entriesSchema } from './entry-schema.js';
import { decodeImage, encodeImage, imageSchema, type PlainImage } from './image-codec.js';

type KeptImage = Extract<KeptRecord, { readonly type: 'image' }>;
type PlainRecord = Exclude<KeptRecord, KeptImage> | { readonly type: 'image'; readonly image: PlainImage };

const isPlainRecord = unionGuard<PlainRecord>({
  identity: object({ type: typed('identity'), identity: string().required(), founds: boolean().optional() }),
  offer: object({ type: typed('offer'), offer: string().required() }),
  vote: object({
    type: typed('vote'),
    term: number().required().integer().min(0),
    votedFor: string().optional().default(undefined),
  }),
  entries: object({ type: typed('entries'), entries: entriesSchema }),
  image: object({ type: typed('image'), image: imageSchema }),
});

const batchSchema = object({ records: array(mixed(isPlainRecord).required()).required() }).required();

export const encodeKept = (records: readonly KeptRecord[]): Uint8Array =>
  serialize({
    records: records.map((record) =>
      record.type === 'image' ? { type: 'image', image: encodeImage(record.image) } : record,
    ),
  });

/** Reads a batch of kept records; one that does not hold is damage. */
export const decodeKept = (bytes: Uint8Array): Either<TypedError, readonly KeptRecord[]> => {
  try {
    return checked(batchSchema, deserialize(bytes))
      .mapLeft((faults) => typedError('damaged-disk', 'a kept record is not of a known form', faults))
      .map(({ records }) =>
        records.map((record) =>
          record.type === 'image' ? { type: 'image', image: decodeImage(record.image) } : record,
        ),
      );
  } catch (thrown) {
    return Left(typedError('damaged-disk', messageOf(thrown)));
  }
};

export const sequenceKept = (batches: readonly Uint8Array[]): Either<TypedError, readonly KeptRecord[]> =>
  batches.reduce<Either<TypedError, readonly KeptRecord[]>>(
    (readSoFar, batch) => readSoFar.chain((records) => decodeKept(batch).map((more) => [...records, ...more])),
    Right([]),
  );
