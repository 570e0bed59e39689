import { withEntry } from '../../common/maps.js';
import { encodeSnapshotText, type EncodedSnapshot } from '../wire/snapshot-text.js';
import { stepOf, type ControlStep } from './control-step.js';
import { isPaused, withContact, withProgressMade, withSend } from './flow-control.js';
import type { ControlMessage } from './message.js';
import type { Progress, SnapshotTransfer } from './progress.js';
import type { Replica } from './replica.js';
import { snapshotPieceChars, stalledTransferUs } from './timing.js';

/** The leader's side of a snapshot transfer: pieces, their acknowledgements and what is kept for them. */

type InstallSnapshotReply = Extract<ControlMessage, { readonly type: 'installSnapshotReply' }>;

/** Whether a member lacks entries that the log no longer holds. */
export const needsSnapshot = (replica: Replica, progress: Progress): boolean => progress.next <= replica.snapshot.index;

const encodedSnapshotOf = (replica: Replica): EncodedSnapshot => {
  const { snapshot, encodedSnapshot } = replica;
  return encodedSnapshot?.index === snapshot.index && encodedSnapshot.term === snapshot.term
    ? encodedSnapshot
    : encodeSnapshotText(snapshot);
};

/** Sends the piece at the acknowledged offset, unless one is under way; a newer snapshot starts at its beginning. */
export const sendSnapshotPiece = (replica: Replica, identity: string, progress: Progress): ControlStep => {
  const isOfThisSnapshot = progress.transfer?.index === replica.snapshot.index;
  if (isOfThisSnapshot && isPaused(progress, replica.atUs)) return stepOf(replica);
  const encodedSnapshot = encodedSnapshotOf(replica);
  const offset = isOfThisSnapshot ? (progress.transfer?.offset ?? 0) : 0;
  const movedUs = isOfThisSnapshot ? (progress.transfer?.movedUs ?? replica.atUs) : replica.atUs;
  const transfer: SnapshotTransfer = { index: encodedSnapshot.index, offset, movedUs };
  const sentProgress = { ...withSend(progress, replica.atUs), transfer };
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
        piece: encodedSnapshot.text.slice(offset, offset + snapshotPieceChars),
        round: replica.round,
      },
    },
  );
};

/**
 * Where the transfer stands after an acknowledgement. Late acknowledgements only move it on; the one that answers the
 * piece under way may also move it back, as after the member's restart, and then the timeout goes on as it was.
 */
const acknowledged = (progress: Progress, transfer: SnapshotTransfer, message: InstallSnapshotReply): Progress => {
  if (message.received > transfer.offset)
    return withProgressMade({
      ...progress,
      transfer: { ...transfer, offset: message.received, movedUs: progress.heardUs },
    });
  if (message.offset === transfer.offset && message.received < transfer.offset)
    return { ...progress, transfer: { ...transfer, offset: message.received } };
  return progress;
};

/** Takes the acknowledgement of a piece into account; the caller sends the next one. */
export const withPieceReply = (replica: Replica, from: string, message: InstallSnapshotReply): Replica => {
  const progress = replica.progress.get(from);
  if (replica.role !== 'leader' || progress === undefined || message.term !== replica.term) return replica;
  const contacted = withContact(progress, message.round, replica.atUs);
  const { transfer } = contacted;
  const isOfTransfer = transfer?.index === message.snapshotIndex;
  const isWithinSnapshot = message.received < (replica.encodedSnapshot?.text.length ?? 0);
  const moved =
    transfer !== undefined && isOfTransfer && isWithinSnapshot ? acknowledged(contacted, transfer, message) : contacted;
  return { ...replica, progress: withEntry(replica.progress, from, moved) };
};

/** Notes progress by entries behind a snapshot, so that compaction stays held back until the member has caught up. */
export const withTransferMoved = (progress: Progress, nowUs: number): Progress =>
  progress.transfer === undefined ? progress : { ...progress, transfer: { ...progress.transfer, movedUs: nowUs } };

/** Forgets the transfer of a member that has caught up, and the encoded snapshot once nobody needs it. */
export const withFinishedTransfer = (replica: Replica, identity: string): Replica => {
  const progress = replica.progress.get(identity);
  if (progress?.transfer === undefined || needsSnapshot(replica, progress)) return replica;
  const hasCaughtUp = progress.match >= replica.commit;
  const progressAfter = hasCaughtUp
    ? withEntry(replica.progress, identity, { ...progress, transfer: undefined })
    : replica.progress;
  const isInUse = [...progressAfter.values()].some((one) => one.transfer !== undefined && needsSnapshot(replica, one));
  return { ...replica, progress: progressAfter, encodedSnapshot: isInUse ? replica.encodedSnapshot : undefined };
};

/**
 * Whether compaction would overtake a member that is catching up: it would have to start again with a newer snapshot.
 * A transfer that has stalled holds nothing back.
 */
export const holdsBackCompaction = (replica: Replica): boolean =>
  [...replica.progress.values()].some(
    ({ transfer }) => transfer !== undefined && replica.atUs - transfer.movedUs < stalledTransferUs,
  );
