import { boolean, number, object, string } from 'yup';
import { typed, unionGuard } from '../../common/union.js';
import type { ControlMessage } from '../machine/message.js';
import { snapshotPieceChars } from '../machine/timing.js';
import { entriesSchema } from './entry-schema.js';
import { maxSnapshotChars } from './snapshot-text.js';

/** A control message as it travels; all of its fields are plain. */
export type PlainMessage = ControlMessage;

const digestForm = /^[0-9a-f]{64}$/;

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
  leave: object({ type: typed('leave'), identity: name() }),
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
  installSnapshot: object({
    type: typed('installSnapshot'),
    term: whole(),
    snapshotIndex: whole(),
    snapshotTerm: whole(),
    offset: whole(),
    total: whole().min(1).max(maxSnapshotChars),
    digest: string().required().matches(digestForm),
    piece: string().required().min(1).max(snapshotPieceChars),
    round: whole(),
  }),
  installSnapshotReply: object({
    type: typed('installSnapshotReply'),
    term: whole(),
    snapshotIndex: whole(),
    offset: whole(),
    received: whole().max(maxSnapshotChars),
    round: whole(),
  }),
  timeoutNow: object({ type: typed('timeoutNow'), term: whole() }),
});
