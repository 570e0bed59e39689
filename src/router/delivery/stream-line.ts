import { parseJson } from '../../common/json.js';

/** One line of a model server's response stream: a piece of output with its number from 0, or the explicit end marker. */
export type StreamLine =
  | { readonly type: 'piece'; readonly piece: number; readonly text: string }
  | { readonly type: 'end'; readonly pieces: number };

const isCount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;

const hasTwoFields = (value: object): boolean => Object.keys(value).length === 2;

/** Validated by hand, without a schema, because this runs for every piece of every stream. */
const streamLineOf = (value: unknown): StreamLine | undefined => {
  if (typeof value !== 'object' || value === null || !hasTwoFields(value)) return undefined;
  if ('piece' in value && 'text' in value && isCount(value.piece) && typeof value.text === 'string')
    return { type: 'piece', piece: value.piece, text: value.text };
  if ('end' in value && 'pieces' in value && value.end === true && isCount(value.pieces))
    return { type: 'end', pieces: value.pieces };
  return undefined;
};

/** Parses one line of a stream; undefined if it is not JSON or has any other form. */
export const parseStreamLine = (text: string): StreamLine | undefined =>
  parseJson(text, 'bad-message').map(streamLineOf).orDefault(undefined);
