import { boolean, number, object, string } from 'yup';
import { checked } from '../../common/checked.js';
import { parseJson } from '../../common/json.js';

/** One line of a server's stream: a numbered piece, or the explicit end. */
export type StreamLine =
  | { readonly type: 'piece'; readonly piece: number; readonly text: string }
  | { readonly type: 'end'; readonly pieces: number };

const pieceSchema = object({ piece: number().required().integer().min(0), text: string().defined() }).required().noUnknown();
const endSchema = object({ end: boolean().required().oneOf([true]), pieces: number().required().integer().min(0) }).required().noUnknown();

export const parseStreamLine = (text: string): StreamLine | undefined =>
  parseJson(text, 'bad-message')
    .toMaybe()
    .chain((value) =>
      checked(pieceSchema, value)
        .map(({ piece, text: pieceText }): StreamLine => ({ type: 'piece', piece, text: pieceText }))
        .alt(checked(endSchema, value).map(({ pieces }): StreamLine => ({ type: 'end', pieces })))
        .toMaybe(),
    )
    .extractNullable() ?? undefined;
