import { Left, Right, type Either } from 'purify-ts';
import { emptyMap, type PersistentMap } from '../../common/persistent-map.js';
import { maxIdBytes } from './event-splitter.js';

/** How a further attempt can go on with a stream. */
export type ResumePoint =
  /** Nothing was passed on: the request is sent again as the client sent it. */
  | { readonly type: 'start' }
  /** After the event with this ID, exactly as its server wrote it. */
  | { readonly type: 'after'; readonly id: string }
  /** Events were passed on whose position no server can be told. */
  | { readonly type: 'unknown' };

/** What the IDs of a stream's events, as far as they were passed on, show of its position and of the events to come. */
export type StreamPosition = {
  readonly resumePoint: ResumePoint;
  /** The highest numeric ID, that of the client's request included. */
  readonly highest: bigint | undefined;
  /** The IDs that are not numbers. */
  readonly texts: PersistentMap<string, true>;
  readonly textBytes: number;
  /** Whether each numeric ID was the one before it plus one; undefined before the second. */
  readonly countsByOne: boolean | undefined;
  /** Whether all events had an ID. */
  readonly allHaveIds: boolean;
};

/** What an event, or a block without data, tells of its position. */
export type EventPosition = { readonly hasData: boolean; readonly id: string | undefined };

/** Beyond this, IDs that are not numbers are not remembered, and the stream is not resumed. */
const maxTextBytes = 1 << 14;
const numberForm = /^\d+$/;
/** A header keeps a value only if it has no control characters, and no blanks at its ends. */
const headerValueForm = /^[\x21-\x7e\x80-\xff](?:[\t\x20-\x7e\x80-\xff]*[\x21-\x7e\x80-\xff])?$/;

const unknownPoint: ResumePoint = { type: 'unknown' };

const numberOf = (id: string): bigint | undefined =>
  id.length <= maxIdBytes && numberForm.test(id) ? BigInt(id) : undefined;

const resumePointAfter = (id: string): ResumePoint =>
  id.length <= maxIdBytes && headerValueForm.test(id) ? { type: 'after', id } : unknownPoint;

const noPosition: StreamPosition = {
  resumePoint: { type: 'start' },
  highest: undefined,
  texts: emptyMap(),
  textBytes: 0,
  countsByOne: undefined,
  allHaveIds: true,
};

const withText = (position: StreamPosition, id: string): StreamPosition => {
  const textBytes = position.textBytes + id.length;
  if (textBytes > maxTextBytes) return { ...position, textBytes, resumePoint: unknownPoint };
  return { ...position, textBytes, texts: position.texts.set(id, true) };
};

const withNumber = (position: StreamPosition, number: bigint): StreamPosition => ({
  ...position,
  highest: number,
  countsByOne:
    position.highest === undefined
      ? position.countsByOne
      : position.countsByOne !== false && number === position.highest + 1n,
});

const withId = (position: StreamPosition, id: string): StreamPosition => {
  const number = numberOf(id);
  return number === undefined ? withText(position, id) : withNumber(position, number);
};

/** The position of a stream of which nothing was passed on; `lastEventId` is the client's own, whatever it holds. */
export const startPosition = (lastEventId: string | undefined): StreamPosition =>
  lastEventId === undefined ? noPosition : withId(noPosition, lastEventId);

/** The position after bytes that are no event, or after an event without an ID. */
export const withUnknownPosition = (position: StreamPosition): StreamPosition => ({
  ...position,
  resumePoint: unknownPoint,
  allHaveIds: false,
});

/** Why an event with this ID can not be the next one, as far as that can be told; undefined if it can. */
const orderFaultOf = (position: StreamPosition, id: string, isContinuation: boolean): string | undefined => {
  const { highest, texts, countsByOne } = position;
  const number = numberOf(id);
  if (number === undefined) return texts.has(id) ? 'an ID comes twice' : undefined;
  if (highest === undefined) return undefined;
  if (number <= highest) return 'a numeric ID does not rise';
  return isContinuation && countsByOne === true && number !== highest + 1n
    ? 'the continuation leaves out an event'
    : undefined;
};

/**
 * The position after an event; an error if the event came before or, where an attempt continues the stream with it, is not the
 * next one.
 */
export const positionAfter = (
  position: StreamPosition,
  { hasData, id }: EventPosition,
  isContinuation: boolean,
): Either<string, StreamPosition> => {
  if (id === undefined)
    return isContinuation && position.allHaveIds
      ? Left('the continuation begins with an event without an ID, unlike all events before it')
      : Right(withUnknownPosition(position));
  const { resumePoint } = position;
  if (!hasData && resumePoint.type === 'after' && resumePoint.id === id) return Right(position);
  const fault = orderFaultOf(position, id, isContinuation);
  if (fault !== undefined) return Left(fault);
  const isKnown = position.textBytes <= maxTextBytes;
  return Right(withId({ ...position, resumePoint: isKnown ? resumePointAfter(id) : unknownPoint }, id));
};
