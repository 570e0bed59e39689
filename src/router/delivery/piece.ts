import { parseJson } from '../../common/json.js';

/** One line of a server's stream: a numbered piece, or the explicit end. */
export type StreamLine =
  | { readonly type: 'piece'; readonly piece: number; readonly text: string }
  | { readonly type: 'end'; readonly pieces: number };

const isCount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isSafeInteger(value) && value >= 0;

const hasTwoFields = (value: object): boolean => Object.keys(value).length === 2;

/** Every piece of every stream passes here, so it is looked at by hand. */
const lineOf = (value: unknown): StreamLine | undefined => {
  if (typeof value !== 'object' || value === null || !hasTwoFields(value)) return undefined;
  if ('piece' in value && 'text' in value && isCount(value.piece) && typeof value.text === 'string')
    return { type: 'piece', piece: value.piece, text: value.text };
  if ('end' in value && 'pieces' in value && value.end === true && isCount(value.pieces))
    return { type: 'end', pieces: value.pieces };
  return undefined;
};

export const parseStreamLine = (text: string): StreamLine | undefined =>
  parseJson(text, 'bad-message').map(lineOf).orDefault(undefined);
