import { boolean, number, object, string } from 'yup';
import { typed, unionGuard } from '../../common/union.js';
import type { ControlMessage } from '../machine/message.js';
import { entriesSchema } from './entry-schema.js';
import { decodeSnapshot, encodeSnapshot, snapshotSchema, type PlainSnapshot } from './snapshot-codec.js';

type InstallSnapshot = Extract<ControlMessage, { readonly type: 'installSnapshot' }>;

/** A control message as it travels: snapshots in their plain form. */
export type PlainMessage =
  | Exclude<ControlMessage, InstallSnapshot>
  | {
      readonly type: 'installSnapshot';
      readonly term: number;
      readonly snapshot: PlainSnapshot;
      readonly round: number;
    };

const whole = () => number().required().integer().min(0);
const name = () => string().required();
const offer = () => string().optional();

export const isPlainMessage = unionGuard<PlainMessage>({
  probe: object({
    type: typed('probe'),
    identity: name(),
    address: name(),
    founded: boolean().required(),
    founds: boolean().required(),
    nonce: name(),
    offer: offer(),
  }),
  probeReply: object({
    type: typed('probeReply'),
    identity: name(),
    address: name(),
    founded: boolean().required(),
    founds: boolean().required(),
    nonce: name(),
    offer: offer(),
  }),
  join: object({ type: typed('join'), identity: name(), address: name() }),
  identify: object({ type: typed('identify'), nonce: name() }),
  identified: object({ type: typed('identified'), nonce: name(), identity: name(), address: name() }),
  preVote: object({ type: typed('preVote'), term: whole(), lastIndex: whole(), lastTerm: whole() }),
  preVoteReply: object({ type: typed('preVoteReply'), term: whole(), granted: boolean().required(), forTerm: whole() }),
  vote: object({ type: typed('vote'), term: whole(), lastIndex: whole(), lastTerm: whole() }),
  voteReply: object({ type: typed('voteReply'), term: whole(), granted: boolean().required() }),
  append: object({
    type: typed('append'),
    term: whole(),
    previousIndex: whole(),
    previousTerm: whole(),
    entries: entriesSchema,
    commit: whole(),
    round: whole(),
  }),
  appendReply: object({
    type: typed('appendReply'),
    term: whole(),
    matches: boolean().required(),
    index: number().required().integer(),
    round: whole(),
  }),
  installSnapshot: object({ type: typed('installSnapshot'), term: whole(), snapshot: snapshotSchema, round: whole() }),
  timeoutNow: object({ type: typed('timeoutNow'), term: whole() }),
});

export const plainMessageOf = (message: ControlMessage): PlainMessage =>
  message.type === 'installSnapshot' ? { ...message, snapshot: encodeSnapshot(message.snapshot) } : message;

export const messageOfPlain = (message: PlainMessage): ControlMessage =>
  message.type === 'installSnapshot' ? { ...message, snapshot: decodeSnapshot(message.snapshot) } : message;
