import { calculateObjectSize } from 'bson';
import type { Command } from '../log/command.js';
import type { LogEntry } from '../log/log-entry.js';
import { findDocumentOfProposal } from '../state/document-history.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import { orderHistoryBytesOf } from '../wire/order-history-codec.js';
import type { Replica } from './replica.js';

/**
 * The bound on the replicated state. The head of each ring file is a snapshot of it with the entries that are not
 * committed, so a leader takes a command only while all of that fits; a snapshot that does not fit can not come about.
 */

/** The part of a ring file that the state and the uncommitted entries may fill, in quarters. */
const stateQuarters = 3;

/** The form of one claim beside its texts: bucket, time, separators and the list's own index. */
const claimOverheadBytes = 40;
/** What a command may add to the history of orders beside its own size: outcome, revision and digest. */
const proposalOverheadBytes = 120;
/** Clock, index, term, the members and the records beside the snapshot. */
const fixedBytes = 16 << 10;

/** How large the replicated state may become where a ring file has so many bytes. */
export const stateLimitOf = (ringFileBytes: number): number => (ringFileBytes / 4) * stateQuarters;

const measureState = (state: ReplicatedState): number => {
  let bytes = fixedBytes + (state.record === undefined ? 0 : calculateObjectSize(state.record));
  for (const claims of state.buckets.values())
    for (const [key, claim] of claims)
      bytes += claimOverheadBytes + Buffer.byteLength(key) + Buffer.byteLength(claim.exchange);
  return bytes + orderHistoryBytesOf(state);
};

const remembered = <T extends object>(measure: (value: T) => number): ((value: T) => number) => {
  const sizes = new WeakMap<T, number>();
  return (value) => {
    const knownSize = sizes.get(value);
    if (knownSize !== undefined) return knownSize;
    const size = measure(value);
    sizes.set(value, size);
    return size;
  };
};

/** An upper bound on the durable form of a state; remembered, since states are immutable. */
export const stateBytesOf = remembered(measureState);

const commandBytesOf = (command: Command): number => calculateObjectSize(command) + proposalOverheadBytes;

const entryBytesOf = remembered((entry: LogEntry): number => commandBytesOf(entry.command));

const entriesBytesOf = (entries: readonly LogEntry[]): number =>
  entries.reduce((sum, entry) => sum + entryBytesOf(entry), 0);

const isRememberedOrder = (state: ReplicatedState, proposal: string): boolean =>
  state.proposals.outcomes.entries.has(proposal) || findDocumentOfProposal(state.documents, proposal) !== undefined;

/** Whether a command leaves the state as large as it is, so that it is taken however full the state may be. */
const growsNothing = (replica: Replica, command: Command): boolean => {
  switch (command.type) {
    case 'start-term':
    case 'members':
    case 'release':
      return true;
    case 'claim':
      return [...replica.state.buckets.values()].some((claims) => claims.has(command.key));
    case 'setup':
    case 'void':
      return isRememberedOrder(replica.state, command.proposal);
    case 'restore':
      return false;
  }
};

/**
 * Whether a command still fits. The first sum counts every entry since the snapshot as growth, which is quick; only
 * where that passes the limit the state itself is measured.
 */
export const fitsStateLimit = (replica: Replica, command: Command): boolean => {
  const commandBytes = commandBytesOf(command);
  const quickBytes = stateBytesOf(replica.snapshot.state) + entriesBytesOf(replica.entries) + commandBytes;
  if (quickBytes <= replica.stateLimitBytes || growsNothing(replica, command)) return true;
  const uncommitted = replica.entries.filter((entry) => entry.index > replica.commit);
  return stateBytesOf(replica.state) + entriesBytesOf(uncommitted) + commandBytes <= replica.stateLimitBytes;
};
