import { randomBytes } from 'node:crypto';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { deserialize, serialize } from 'bson';
import { Either, Left, Right } from 'purify-ts';
import { object, string } from 'yup';
import { validate } from '../../common/validate.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { Frame } from '../frame/frame.js';
import { isFrame } from '../frame/frame-guard.js';
import { documentOf, frameIn, hasEncodedRecord } from './frame-document.js';
import type { LinkIdentity } from './link-identity.js';

/**
 * The protocol of a connection. On accepting it the receiver writes its greeting: a mark byte and its instance ID. The
 * sender reads the greeting, then writes its introduction and any number of frames, each preceded by the instance IDs of
 * sender and receiver. While frames arrive the receiver writes an acknowledgement byte once per interval.
 */

const instanceIdBytes = 6;
/** The size of the two instance IDs that precede each frame. */
export const instancePairBytes = 2 * instanceIdBytes;
export const greetingBytes = 1 + instanceIdBytes;
/** A BSON document begins with its length. */
const lengthBytes = 4;
const minDocumentBytes = 5;
const maxDocumentBytes = 64 << 20;
const greetingMark = 2;
const ackMark = 1;

/** The acknowledgement of a receiver, by which its sender detects a dead connection. */
export const ack = Uint8Array.of(ackMark);

const instanceIdForm = /^[0-9a-f]{12}$/;

/** The greeting of a receiver with this instance ID. */
export const greetingOf = (instanceId: string): Uint8Array =>
  Buffer.concat([Uint8Array.of(greetingMark), Buffer.from(instanceId, 'hex')]);

/** A random instance ID for a starting process. */
export const newInstanceId = (): string => randomBytes(instanceIdBytes).toString('hex');

/** The instance ID in a greeting; undefined if the bytes are not a greeting. */
export const instanceIdInGreeting = (greeting: Buffer): string | undefined =>
  greeting[0] === greetingMark ? greeting.toString('hex', 1, greetingBytes) : undefined;

/** The introduction of a sender with this identity. */
export const introductionOf = (identity: LinkIdentity): Uint8Array => serialize({ ...identity });

const introductionSchema = object({
  address: string().required(),
  life: string().required().matches(instanceIdForm),
  fleet: string().required(),
}).required();

/** The bytes of the document at `start`; undefined while it is incomplete, an error if its length is out of bounds. */
export const documentAt = (pending: Buffer, start: number): Either<TypedError, Buffer | undefined> => {
  if (pending.length < start + lengthBytes) return Right(undefined);
  const documentBytes = pending.readInt32LE(start);
  if (documentBytes < minDocumentBytes || documentBytes > maxDocumentBytes)
    return Left(typedError('bad-message', `invalid BSON document length: ${documentBytes} bytes`));
  return Right(pending.length < start + documentBytes ? undefined : pending.subarray(start, start + documentBytes));
};

/** Frames of at least this size are compressed: log entries and snapshots. */
const minCompressedBytes = 8 << 10;
/** The fastest level still reduces configuration texts to a tenth. */
const compression = { level: 1 };

const compressIfLarge = (bytes: Uint8Array): Uint8Array =>
  bytes.length < minCompressedBytes ? bytes : serialize({ deflated: deflateRawSync(bytes, compression) });

/** The compressed bytes in a document; undefined if the document is an uncompressed frame. */
const deflatedIn = (document: unknown): Buffer | undefined =>
  typeof document === 'object' && document !== null && 'deflated' in document && Buffer.isBuffer(document.deflated)
    ? document.deflated
    : undefined;

/** Deserializes a document, compressed or not; throws if it inflates beyond the largest document. */
const parseDocument = (bytes: Uint8Array): unknown => {
  const document: unknown = deserialize(bytes, { promoteBuffers: true });
  const deflated = deflatedIn(document);
  return deflated === undefined
    ? document
    : deserialize(inflateRawSync(deflated, { maxOutputLength: maxDocumentBytes }), { promoteBuffers: true });
};

/** Parses a document. An exception becomes an error result, so that malformed bytes of a peer do not end this process. */
const parseAs = <T>(bytes: Uint8Array, read: (document: unknown) => T): Either<TypedError, T> =>
  Either.encase<Error, T>(() => read(parseDocument(bytes))).mapLeft((error) =>
    typedError('bad-message', error.message),
  );

/** Parses a sender's introduction. */
export const readIntroduction = (bytes: Uint8Array): Either<TypedError, LinkIdentity> =>
  parseAs(bytes, (document) => validate(introductionSchema, document)).chain((introduction) =>
    introduction.mapLeft(() =>
      typedError('bad-message', 'invalid introduction: address, life or fleet is missing or malformed'),
    ),
  );

/** Parses a frame: an error if the bytes are malformed, undefined if the document is not a known frame. */
export const readFrame = (bytes: Uint8Array): Either<TypedError, Frame | undefined> =>
  parseAs(bytes, (document) => {
    const frame = frameIn(document);
    return isFrame(frame) ? frame : undefined;
  });

/** The bytes of a frame on the wire, compressed if it is large. */
export const frameBytesOf = (frame: Frame): Uint8Array =>
  hasEncodedRecord(frame) ? documentOf(frame) : compressIfLarge(documentOf(frame));

/** The instance IDs of both ends, which precede each frame. */
export const instancePairOf = (senderInstanceId: string, receiverInstanceId: string): Uint8Array =>
  Buffer.from(`${senderInstanceId}${receiverInstanceId}`, 'hex');
