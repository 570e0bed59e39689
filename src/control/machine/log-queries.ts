import type { LogEntry } from '../log/log-entry.js';
import type { Member } from '../members/member.js';
import type { Replica } from './replica.js';

type Log = Pick<Replica, 'snapshot' | 'entries'>;

/** The size of the operator's document in an entry; 0 without one. */
export const documentCharsOf = ({ command }: LogEntry): number =>
  command.type === 'setup' ? (command.original?.text.length ?? 0) : 0;

export const lastIndexOf = (replica: Log): number =>
  replica.entries[replica.entries.length - 1]?.index ?? replica.snapshot.index;

export const lastTermOf = (replica: Log): number =>
  replica.entries[replica.entries.length - 1]?.term ?? replica.snapshot.term;

/** The entry at an index; undefined if it is compacted or past the end of the log. */
export const entryAt = (replica: Log, index: number): LogEntry | undefined =>
  replica.entries[index - replica.snapshot.index - 1];

/** The term of the entry at an index, the snapshot's last one included; undefined where it is not known. */
export const termAt = (replica: Log, index: number): number | undefined =>
  index === replica.snapshot.index ? replica.snapshot.term : entryAt(replica, index)?.term;

export const entriesFrom = (replica: Log, index: number, limit: number): readonly LogEntry[] => {
  const start = Math.max(0, index - replica.snapshot.index - 1);
  return replica.entries.slice(start, start + limit);
};

/** The members by the last membership entry of the log, committed or not. */
export const membersOf = (replica: Log): readonly Member[] => {
  for (let offset = replica.entries.length - 1; offset >= 0; offset -= 1) {
    const command = replica.entries[offset]?.command;
    if (command?.type === 'members') return command.members;
  }
  return replica.snapshot.members;
};

export const votersOf = (replica: Log): readonly Member[] => membersOf(replica).filter((member) => member.voter);

export const isVoter = (replica: Log, identity: string): boolean =>
  votersOf(replica).some((member) => member.identity === identity);

/**
 * Whether a membership change is not committed yet; only one change may be in progress (Raft single-server changes).
 */
export const hasUncommittedMembershipChange = (replica: Log & Pick<Replica, 'commit'>): boolean =>
  replica.entries.some((entry) => entry.index > replica.commit && entry.command.type === 'members');

/**
 * Whether an entry of the current term is committed here. By leader completeness every entry that was committed in an
 * earlier term precedes it, so the applied state is then at least as new as everything acknowledged before this term.
 */
export const hasCommittedInTerm = (replica: Log & Pick<Replica, 'commit' | 'term'>): boolean =>
  termAt(replica, replica.commit) === replica.term;
