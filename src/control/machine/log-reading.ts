import type { LogEntry } from '../log/log-entry.js';
import type { Member } from '../members/member.js';
import type { Replica } from './replica.js';

type Logged = Pick<Replica, 'snapshot' | 'entries'>;

/** How much an entry weighs by the document that came with it. */
export const textCharsOf = ({ command }: LogEntry): number =>
  command.type === 'setup' ? (command.original?.text.length ?? 0) : 0;

export const lastIndexOf = (replica: Logged): number =>
  replica.entries[replica.entries.length - 1]?.index ?? replica.snapshot.index;

export const lastTermOf = (replica: Logged): number =>
  replica.entries[replica.entries.length - 1]?.term ?? replica.snapshot.term;

export const entryAt = (replica: Logged, index: number): LogEntry | undefined =>
  replica.entries[index - replica.snapshot.index - 1];

export const termAt = (replica: Logged, index: number): number | undefined =>
  index === replica.snapshot.index ? replica.snapshot.term : entryAt(replica, index)?.term;

export const entriesFrom = (replica: Logged, index: number, most: number): readonly LogEntry[] => {
  const startPlace = Math.max(0, index - replica.snapshot.index - 1);
  return replica.entries.slice(startPlace, startPlace + most);
};

/** The members by the newest entry that names them, committed or not. */
export const membersOf = (replica: Logged): readonly Member[] => {
  for (let place = replica.entries.length - 1; place >= 0; place -= 1) {
    const command = replica.entries[place]?.command;
    if (command?.type === 'members') return command.members;
  }
  return replica.snapshot.members;
};

export const votersOf = (replica: Logged): readonly Member[] => membersOf(replica).filter((member) => member.voter);

export const isVoter = (replica: Logged, identity: string): boolean =>
  votersOf(replica).some((member) => member.identity === identity);

/** Whether the newest members entry is not committed yet; only one change runs at a time. */
export const hasOpenChange = (replica: Logged & Pick<Replica, 'commit'>): boolean =>
  replica.entries.some((entry) => entry.index > replica.commit && entry.command.type === 'members');

/**
 * Whether an entry of the present term is committed here. All that was acknowledged in former terms stands before it, so
 * what this replica has applied is then no older than what was acknowledged before the term began (leader completeness).
 */
export const hasCommittedInTerm = (replica: Logged & Pick<Replica, 'commit' | 'term'>): boolean =>
  termAt(replica, replica.commit) === replica.term;
