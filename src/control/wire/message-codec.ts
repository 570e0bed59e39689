import { boolean, number, object, string } from 'yup';
import { typed, unionGuard } from '../../common/union.js';
import type { ControlMessage } from '../machine/message.js';
import { entriesSchema } from './entry-schema.js';
import { decodeImage, encodeImage, imageSchema, type PlainImage } from './image-codec.js';

type Install = Extract<ControlMessage, { readonly type: 'install' }>;

/** A control message as it travels: images in their plain form. */
export type PlainMessage =
  | Exclude<ControlMessage, Install>
  | { readonly type: 'install'; readonly term: number; readonly image: PlainImage; readonly round: number };

const whole = () => number().required().integer().min(0);
const name = () => string().required();
const offer = () => string().optional();

export const isPlainMessage = unionGuard<PlainMessage>({
  hello: object({
    type: typed('hello'),
    identity: name(),
    address: name(),
    founded: boolean().required(),
    offer: offer(),
  }),
  helloBack: object({
    type: typed('helloBack'),
    identity: name(),
    address: name(),
    founded: boolean().required(),
    offer: offer(),
  }),
  join: object({ type: typed('join'), identity: name(), address: name() }),
  preVote: object({ type: typed('preVote'), term: whole(), lastIndex: whole(), lastTerm: whole() }),
  preVoteBack: object({ type: typed('preVoteBack'), term: whole(), granted: boolean().required(), forTerm: whole() }),
  vote: object({ type: typed('vote'), term: whole(), lastIndex: whole(), lastTerm: whole() }),
  voteBack: object({ type: typed('voteBack'), term: whole(), granted: boolean().required() }),
  append: object({
    type: typed('append'),
    term: whole(),
    previousIndex: whole(),
    previousTerm: whole(),
    entries: entriesSchema,
    commit: whole(),
    round: whole(),
  }),
  appendBack: object({
    type: typed('appendBack'),
    term: whole(),
    matches: boolean().required(),
    index: number().required().integer(),
    round: whole(),
  }),
  install: object({ type: typed('install'), term: whole(), image: imageSchema, round: whole() }),
  takeOver: object({ type: typed('takeOver'), term: whole() }),
});

export const plainMessageOf = (message: ControlMessage): PlainMessage =>
  message.type === 'install' ? { ...message, image: encodeImage(message.image) } : message;

export const messageOfPlain = (message: PlainMessage): ControlMessage =>
  message.type === 'install' ? { ...message, image: decodeImage(message.image) } : message;
