import { randomBytes } from 'node:crypto';
import { deflateRawSync, inflateRawSync } from 'node:zlib';
import { deserialize, serialize } from 'bson';
import { Either, Left, Right } from 'purify-ts';
import { object, string } from 'yup';
import { checked } from '../../common/checked.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { Frame } from '../frame/frame.js';
import { isFrame } from '../frame/frame-guard.js';
import { documentOf, frameIn, hasEncodedRecord } from './frame-document.js';
import type { LinkIdentity } from './link-identity.js';

/**
 * What goes over a connection. The receiver writes its greeting on accepting, and one byte now and then as a sign of
 * life. The sender reads the greeting, then writes its introduction once and any number of frames, each behind the
 * lives of its sender and its receiver.
 */
const lifeBytes = 6;
export const livesBytes = 2 * lifeBytes;
export const greetingBytes = 1 + lifeBytes;
/** What a BSON document says of its own length. */
const lengthBytes = 4;
const leastDocumentBytes = 5;
const mostDocumentBytes = 64 << 20;
const greetingMark = 2;
const signMark = 1;

/** What a receiver writes back now and then, so that its sender knows of a link that leads nowhere. */
export const sign = Uint8Array.of(signMark);

const lifeForm = /^[0-9a-f]{12}$/;

export const greetingOf = (life: string): Uint8Array =>
  Buffer.concat([Uint8Array.of(greetingMark), Buffer.from(life, 'hex')]);

/** A life for a process that starts. */
export const freshLife = (): string => randomBytes(lifeBytes).toString('hex');

/** The life that a greeting names; none where the bytes are no greeting. */
export const lifeInGreeting = (greeting: Buffer): string | undefined =>
  greeting[0] === greetingMark ? greeting.toString('hex', 1, greetingBytes) : undefined;

export const introductionOf = (identity: LinkIdentity): Uint8Array => serialize({ ...identity });

const introductionSchema = object({
  address: string().required(),
  life: string().required().matches(lifeForm),
  fleet: string().required(),
}).required();

/** One length-delimited document of a buffer: its bytes, none before they are all there. */
export const documentAt = (pending: Buffer, start: number): Either<TypedError, Buffer | undefined> => {
  if (pending.length < start + lengthBytes) return Right(undefined);
  const documentBytes = pending.readInt32LE(start);
  if (documentBytes < leastDocumentBytes || documentBytes > mostDocumentBytes)
    return Left(typedError('bad-message', `a document cannot have ${documentBytes} bytes`));
  return Right(pending.length < start + documentBytes ? undefined : pending.subarray(start, start + documentBytes));
};

/** Frames of so many bytes and more travel compressed: log entries and snapshots. */
const leastCompressedBytes = 8 << 10;
/** The fastest level; text of configurations still shrinks to a tenth. */
const compression = { level: 1 };

const compressed = (bytes: Uint8Array): Uint8Array =>
  bytes.length < leastCompressedBytes ? bytes : serialize({ deflated: deflateRawSync(bytes, compression) });

/** The compressed document in another one; none where it is a plain frame. */
const deflatedIn = (document: unknown): Buffer | undefined =>
  typeof document === 'object' && document !== null && 'deflated' in document && Buffer.isBuffer(document.deflated)
    ? document.deflated
    : undefined;

/** The document in some bytes, compressed or not; one that grows beyond the largest document is an error. */
const documentIn = (bytes: Uint8Array): unknown => {
  const document: unknown = deserialize(bytes, { promoteBuffers: true });
  const deflated = deflatedIn(document);
  return deflated === undefined
    ? document
    : deserialize(inflateRawSync(deflated, { maxOutputLength: mostDocumentBytes }), { promoteBuffers: true });
};

/** Reads a document; no bytes of a partner end this process, whatever they make a reader throw. */
const parsed = <T>(bytes: Uint8Array, read: (document: unknown) => T): Either<TypedError, T> =>
  Either.encase<Error, T>(() => read(documentIn(bytes))).mapLeft((error) => typedError('bad-message', error.message));

/** Reads a sender's introduction. */
export const readIntroduction = (bytes: Uint8Array): Either<TypedError, LinkIdentity> =>
  parsed(bytes, (document) => checked(introductionSchema, document)).chain((introduction) =>
    introduction.mapLeft(() => typedError('bad-message', 'this is no introduction')),
  );

/** Reads a frame; what has the form of none is left out of the answer. */
export const readFrame = (bytes: Uint8Array): Either<TypedError, Frame | undefined> =>
  parsed(bytes, (document) => {
    const frame = frameIn(document);
    return isFrame(frame) ? frame : undefined;
  });

/** The bytes of a frame on the wire. */
export const frameBytesOf = (frame: Frame): Uint8Array =>
  hasEncodedRecord(frame) ? documentOf(frame) : compressed(documentOf(frame));

/** The lives of both ends, as they stand before each frame. */
export const livesOf = (senderLife: string, receiverLife: string): Uint8Array =>
  Buffer.from(`${senderLife}${receiverLife}`, 'hex');
