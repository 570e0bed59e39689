import { calculateObjectSize } from 'bson';
import type { Command } from '../log/command.js';
import type { LogEntry } from '../log/log-entry.js';
import { findDocumentOfProposal } from '../state/document-history.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import { outcomeHistoryBytesOf } from '../wire/outcome-history-codec.js';
import type { Replica } from './replica.js';

/**
 * The size limit of the replicated state. Each ring file starts with a snapshot and the uncommitted entries, so a
 * leader accepts a command only if all of that fits into one file afterwards.
 */

/** The share of a ring file that the state and the uncommitted entries may fill, in quarters. */
const stateQuarters = 3;

/** The size of an encoded claim besides key and exchange: bucket, time, separators and list index. */
const claimOverheadBytes = 40;
/** What a command may add to the outcome history besides its own size: outcome, revision and digest. */
const proposalOverheadBytes = 120;
/** Clock, index, term, the members and the records besides the snapshot. */
const fixedBytes = 16 << 10;

/** The size limit of the replicated state for a size of the ring files. */
export const stateLimitBytesOf = (ringFileBytes: number): number => (ringFileBytes / 4) * stateQuarters;

const measureState = (state: ReplicatedState): number => {
  let bytes = fixedBytes + (state.record === undefined ? 0 : calculateObjectSize(state.record));
  for (const claims of state.buckets.values())
    for (const [key, claim] of claims)
      bytes += claimOverheadBytes + Buffer.byteLength(key) + Buffer.byteLength(claim.exchange);
  return bytes + outcomeHistoryBytesOf(state);
};

const memoized = <T extends object>(measure: (value: T) => number): ((value: T) => number) => {
  const sizes = new WeakMap<T, number>();
  return (value) => {
    const cachedSize = sizes.get(value);
    if (cachedSize !== undefined) return cachedSize;
    const size = measure(value);
    sizes.set(value, size);
    return size;
  };
};

/** An upper bound on the encoded size of a state; memoized, since states are immutable. */
export const stateBytesOf = memoized(measureState);

const commandBytesOf = (command: Command): number => calculateObjectSize(command) + proposalOverheadBytes;

const entryBytesOf = memoized((entry: LogEntry): number => commandBytesOf(entry.command));

const entriesBytesOf = (entries: readonly LogEntry[]): number =>
  entries.reduce((sum, entry) => sum + entryBytesOf(entry), 0);

const isKnownProposal = (state: ReplicatedState, proposal: string): boolean =>
  state.proposals.outcomes.entries.has(proposal) || findDocumentOfProposal(state.documents, proposal) !== undefined;

/** Whether a command can't make the state larger, so that it is accepted even at the size limit. */
const isSizeNeutral = (replica: Replica, command: Command): boolean => {
  switch (command.type) {
    case 'start-term':
    case 'members':
    case 'release':
      return true;
    case 'claim':
      return [...replica.state.buckets.values()].some((claims) => claims.has(command.key));
    case 'setup':
    case 'void':
      return isKnownProposal(replica.state, command.proposal);
    case 'restore':
      return false;
  }
};

/**
 * Whether the state stays within its limit with a command. The first sum is an upper bound that is cheap to compute: it
 * counts every entry since the snapshot as growth. Only if it exceeds the limit, the state itself is measured.
 */
export const isWithinStateLimit = (replica: Replica, command: Command): boolean => {
  const commandBytes = commandBytesOf(command);
  const upperBoundBytes = stateBytesOf(replica.snapshot.state) + entriesBytesOf(replica.entries) + commandBytes;
  if (upperBoundBytes <= replica.stateLimitBytes || isSizeNeutral(replica, command)) return true;
  const uncommitted = replica.entries.filter((entry) => entry.index > replica.commit);
  return stateBytesOf(replica.state) + entriesBytesOf(uncommitted) + commandBytes <= replica.stateLimitBytes;
};
