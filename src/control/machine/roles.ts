import type { Micros } from '../../common/micros.js';
import type { LogEntry } from '../log/log-entry.js';
import type { ControlEffect } from './control-effect.js';
import { stepOf, type ControlStep } from './control-step.js';
import type { Replica } from './replica.js';
import { isVoter, membersOf } from './log-queries.js';
import type { Role } from './role.js';
import { electionTimeoutUs } from './parameters.js';

/** A random deadline, one to two election timeouts from now, so that candidates rarely split the vote. */
export const randomElectionDeadline = (replica: Replica, chance: number): Micros =>
  replica.atUs + electionTimeoutUs + Math.floor(chance * electionTimeoutUs);

/** The role of a replica that neither leads nor takes part in an election as a candidate. */
export const passiveRoleOf = (replica: Replica): Role => {
  if (membersOf(replica).length === 0) return 'unfounded';
  return isVoter(replica, replica.identity) ? 'follower' : 'learner';
};

const roleEffects = (previous: Replica, replica: Replica): readonly ControlEffect[] =>
  previous.role === replica.role && previous.leader === replica.leader
    ? []
    : [{ type: 'role', role: replica.role, term: replica.term, leader: replica.leader }];

/**
 * Changes the role. A leader that steps down drops its volatile state: its pending proposals are undecided, its reads
 * get the reply `not-leader`, so that they are repeated at another node.
 */
export const changeRole = (replica: Replica, change: Partial<Replica>): ControlStep => {
  const changedReplica = { ...replica, ...change };
  const isSteppingDown = replica.role === 'leader' && changedReplica.role !== 'leader';
  const newReplica: Replica = isSteppingDown
    ? {
        ...changedReplica,
        pendingRequests: new Map(),
        reads: [],
        progress: new Map(),
        joinChecks: new Map(),
        leaveNoticeExpiryUs: new Map(),
        transferDeadlineUs: undefined,
        encodedSnapshot: undefined,
      }
    : changedReplica;
  return stepOf(
    newReplica,
    ...(isSteppingDown
      ? [...replica.pendingRequests.values()].map((requestId): ControlEffect => ({
          type: 'reply',
          requestId,
          reply: { type: 'undecided' },
        }))
      : []),
    ...(isSteppingDown
      ? replica.reads.map((read): ControlEffect => ({
          type: 'reply',
          requestId: read.requestId,
          reply: { type: 'not-leader', leader: undefined },
        }))
      : []),
    ...roleEffects(replica, newReplica),
  );
};

/** Follows a leader, if it is known, in a term; a newer term clears the vote and is persisted. */
export const becomeFollower = (
  replica: Replica,
  term: number,
  leader: string | undefined,
  chance: number,
): ControlStep => {
  const isNewTerm = term > replica.term;
  const termReplica: Replica = isNewTerm ? { ...replica, term, votedFor: undefined } : replica;
  const step = changeRole(termReplica, {
    role: passiveRoleOf(replica),
    leader,
    votes: new Set(),
    electionDeadlineUs: randomElectionDeadline(replica, chance),
  });
  return isNewTerm
    ? {
        replica: step.replica,
        effects: [{ type: 'persist', record: { type: 'vote', term, votedFor: undefined } }, ...step.effects],
      }
    : step;
};

/** Replaces the log from the index of the first given entry on. */
export const replaceLogSuffix = (replica: Replica, entries: readonly LogEntry[]): Replica => {
  const firstIndex = entries[0]?.index;
  if (firstIndex === undefined) return replica;
  return {
    ...replica,
    entries: [...replica.entries.slice(0, Math.max(0, firstIndex - replica.snapshot.index - 1)), ...entries],
  };
};
