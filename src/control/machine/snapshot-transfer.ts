import { withEntry } from '../../common/maps.js';
import { encodeSnapshotText, type EncodedSnapshot } from '../wire/snapshot-text.js';
import { stepOf, type ControlStep } from './control-step.js';
import { isPaused, recordContact, recordProgress, recordSend } from './flow-control.js';
import type { ControlMessage } from './message.js';
import type { Progress, SnapshotTransfer } from './progress.js';
import type { Replica } from './replica.js';
import { maxSnapshotPieceChars, transferStallTimeoutUs } from './parameters.js';

/** The leader's side of a snapshot transfer (Raft InstallSnapshot, in pieces): sends, acknowledgements, clean-up. */

type InstallSnapshotReply = Extract<ControlMessage, { readonly type: 'installSnapshotReply' }>;

/** Whether a member lacks entries that the log no longer holds. */
export const needsSnapshot = (replica: Replica, progress: Progress): boolean => progress.next <= replica.snapshot.index;

const encodedSnapshotOf = (replica: Replica): EncodedSnapshot => {
  const { snapshot, encodedSnapshot } = replica;
  return encodedSnapshot?.index === snapshot.index && encodedSnapshot.term === snapshot.term
    ? encodedSnapshot
    : encodeSnapshotText(snapshot);
};

/** Sends the piece at the acknowledged offset, unless one is in flight; a newer snapshot starts at offset 0. */
export const sendSnapshotPiece = (replica: Replica, identity: string, progress: Progress): ControlStep => {
  const isCurrentSnapshot = progress.transfer?.index === replica.snapshot.index;
  if (isCurrentSnapshot && isPaused(progress, replica.atUs)) return stepOf(replica);
  const encodedSnapshot = encodedSnapshotOf(replica);
  const offset = isCurrentSnapshot ? (progress.transfer?.offset ?? 0) : 0;
  const progressUs = isCurrentSnapshot ? (progress.transfer?.lastProgressUs ?? replica.atUs) : replica.atUs;
  const transfer: SnapshotTransfer = { index: encodedSnapshot.index, offset, lastProgressUs: progressUs };
  const sentProgress = { ...recordSend(progress, replica.atUs), transfer };
  return stepOf(
    { ...replica, encodedSnapshot, progress: withEntry(replica.progress, identity, sentProgress) },
    {
      type: 'send',
      to: identity,
      message: {
        type: 'installSnapshot',
        term: replica.term,
        snapshotIndex: encodedSnapshot.index,
        snapshotTerm: encodedSnapshot.term,
        offset,
        total: encodedSnapshot.text.length,
        digest: encodedSnapshot.digest,
        piece: encodedSnapshot.text.slice(offset, offset + maxSnapshotPieceChars),
        round: replica.round,
      },
    },
  );
};

/**
 * The progress after an acknowledgement. A delayed acknowledgement only moves the offset forward; that of the piece in
 * flight may also move it back, as after a restart of the member, and does not reset the retransmission timeout then.
 */
const acknowledged = (progress: Progress, transfer: SnapshotTransfer, message: InstallSnapshotReply): Progress => {
  if (message.received > transfer.offset)
    return recordProgress({
      ...progress,
      transfer: { ...transfer, offset: message.received, lastProgressUs: progress.lastContactUs },
    });
  if (message.offset === transfer.offset && message.received < transfer.offset)
    return { ...progress, transfer: { ...transfer, offset: message.received } };
  return progress;
};

/** Records the acknowledgement of a piece; the caller sends the next one. Returns the same replica if it is stale. */
export const recordPieceReply = (replica: Replica, from: string, message: InstallSnapshotReply): Replica => {
  const progress = replica.progress.get(from);
  if (replica.role !== 'leader' || progress === undefined || message.term !== replica.term) return replica;
  const afterContact = recordContact(progress, message.round, replica.atUs);
  const { transfer } = afterContact;
  const isCurrentTransfer = transfer?.index === message.snapshotIndex;
  const isWithinSnapshot = message.received < (replica.encodedSnapshot?.text.length ?? 0);
  const updated =
    transfer !== undefined && isCurrentTransfer && isWithinSnapshot
      ? acknowledged(afterContact, transfer, message)
      : afterContact;
  return { ...replica, progress: withEntry(replica.progress, from, updated) };
};

/**
 * Records progress with the entries after a snapshot, so that compaction is deferred until the member has caught up.
 */
export const recordTransferProgress = (progress: Progress, nowUs: number): Progress =>
  progress.transfer === undefined
    ? progress
    : { ...progress, transfer: { ...progress.transfer, lastProgressUs: nowUs } };

/** Drops the transfer of a member that has caught up, and the encoded snapshot once no member needs it. */
export const clearFinishedTransfer = (replica: Replica, identity: string): Replica => {
  const progress = replica.progress.get(identity);
  if (progress?.transfer === undefined || needsSnapshot(replica, progress)) return replica;
  const hasCaughtUp = progress.match >= replica.commit;
  const remaining = hasCaughtUp
    ? withEntry(replica.progress, identity, { ...progress, transfer: undefined })
    : replica.progress;
  const isInUse = [...remaining.values()].some(
    (member) => member.transfer !== undefined && needsSnapshot(replica, member),
  );
  return { ...replica, progress: remaining, encodedSnapshot: isInUse ? replica.encodedSnapshot : undefined };
};

/**
 * Whether compaction is deferred for a member that is catching up, since it would have to start again with a newer
 * snapshot. A stalled transfer does not defer it.
 */
export const isCompactionDeferred = (replica: Replica): boolean =>
  [...replica.progress.values()].some(
    ({ transfer }) => transfer !== undefined && replica.atUs - transfer.lastProgressUs < transferStallTimeoutUs,
  );
