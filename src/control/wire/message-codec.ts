import { boolean, number, object, string } from 'yup';
import { literalType, unionGuard } from '../../common/union.js';
import type { ControlMessage } from '../machine/message.js';
import { maxSnapshotPieceChars } from '../machine/parameters.js';
import { entriesSchema } from './entry-schema.js';
import { maxSnapshotChars } from './snapshot-text.js';

/** A control message as it is sent; it needs no encoding, since all its fields are plain values. */
export type PlainMessage = ControlMessage;

const digestPattern = /^[0-9a-f]{64}$/;

const nonNegativeInteger = () => number().required().integer().min(0);
const name = () => string().required();
const offer = () => string().optional();

/** Validates a received control message, with the size limits of snapshot pieces. */
export const isPlainMessage = unionGuard<PlainMessage>({
  probe: object({
    type: literalType('probe'),
    identity: name(),
    address: name(),
    founded: boolean().required(),
    founds: boolean().required(),
    nonce: name(),
    offer: offer(),
  }),
  probeReply: object({
    type: literalType('probeReply'),
    identity: name(),
    address: name(),
    founded: boolean().required(),
    founds: boolean().required(),
    nonce: name(),
    offer: offer(),
  }),
  join: object({ type: literalType('join'), identity: name(), address: name() }),
  leave: object({ type: literalType('leave'), identity: name() }),
  identify: object({ type: literalType('identify'), nonce: name() }),
  identified: object({ type: literalType('identified'), nonce: name(), identity: name(), address: name() }),
  preVote: object({
    type: literalType('preVote'),
    term: nonNegativeInteger(),
    lastIndex: nonNegativeInteger(),
    lastTerm: nonNegativeInteger(),
  }),
  preVoteReply: object({
    type: literalType('preVoteReply'),
    term: nonNegativeInteger(),
    granted: boolean().required(),
    forTerm: nonNegativeInteger(),
  }),
  vote: object({
    type: literalType('vote'),
    term: nonNegativeInteger(),
    lastIndex: nonNegativeInteger(),
    lastTerm: nonNegativeInteger(),
  }),
  voteReply: object({ type: literalType('voteReply'), term: nonNegativeInteger(), granted: boolean().required() }),
  append: object({
    type: literalType('append'),
    term: nonNegativeInteger(),
    previousIndex: nonNegativeInteger(),
    previousTerm: nonNegativeInteger(),
    entries: entriesSchema,
    commit: nonNegativeInteger(),
    round: nonNegativeInteger(),
  }),
  appendReply: object({
    type: literalType('appendReply'),
    term: nonNegativeInteger(),
    matches: boolean().required(),
    index: number().required().integer(),
    round: nonNegativeInteger(),
  }),
  installSnapshot: object({
    type: literalType('installSnapshot'),
    term: nonNegativeInteger(),
    snapshotIndex: nonNegativeInteger(),
    snapshotTerm: nonNegativeInteger(),
    offset: nonNegativeInteger(),
    total: nonNegativeInteger().min(1).max(maxSnapshotChars),
    digest: string().required().matches(digestPattern),
    piece: string().required().min(1).max(maxSnapshotPieceChars),
    round: nonNegativeInteger(),
  }),
  installSnapshotReply: object({
    type: literalType('installSnapshotReply'),
    term: nonNegativeInteger(),
    snapshotIndex: nonNegativeInteger(),
    offset: nonNegativeInteger(),
    received: nonNegativeInteger().max(maxSnapshotChars),
    round: nonNegativeInteger(),
  }),
  timeoutNow: object({ type: literalType('timeoutNow'), term: nonNegativeInteger() }),
});
