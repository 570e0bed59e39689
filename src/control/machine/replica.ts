import type { Micros } from '../../common/micros.js';
import type { Snapshot } from '../log/snapshot.js';
import type { LogEntry } from '../log/log-entry.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import { emptyReplicatedState } from '../state/replicated-state.js';
import type { JoinCheck } from '../members/join-check.js';
import type { EncodedSnapshot } from '../wire/snapshot-text.js';
import type { PartialSnapshot } from './partial-snapshot.js';
import type { PendingRead } from './pending-read.js';
import type { Progress } from './progress.js';
import type { Role } from './role.js';

/** What a seed reports about itself in reply to a probe, before a core is bootstrapped. */
export type SeedProbe = {
  readonly identity: string;
  /** The members that it has agreed to bootstrap a core with, if any. */
  readonly offer: string | undefined;
  /** Whether it is in a core. */
  readonly founded: boolean;
  /** Whether it may bootstrap a core; a node whose disk was emptied later may not. */
  readonly founds: boolean;
  /** The nonce of the probe that it replied to. */
  readonly nonce: string;
};

/** The state of one control node's Raft replica, persisted and volatile; immutable. */
export type Replica = {
  readonly identity: string;
  readonly address: string;
  readonly seeds: readonly string[];
  /** Addresses of control nodes learned by gossip: used to find a core, never as bootstrap members. */
  readonly knownAddresses: readonly string[];
  /** Whether this node may bootstrap a core with the other seeds. */
  readonly founds: boolean;
  /** The number of voters up to which a leader promotes learners. */
  readonly targetVoterCount: number;
  /** The size limit of the replicated state; a leader refuses commands that would exceed it. */
  readonly stateLimitBytes: number;
  /** The time of the last event; never goes back. */
  readonly atUs: Micros;
  readonly role: Role;
  readonly term: number;
  readonly votedFor: string | undefined;
  readonly leader: string | undefined;
  /** The bootstrap members that this node has persisted its agreement to; undefined before. */
  readonly offer: string | undefined;
  /** The last reply of each seed by address, while this node is in no core. */
  readonly probes: ReadonlyMap<string, SeedProbe>;
  /** The nonce of the last probe that was sent to the other seeds. */
  readonly probeNonce: string;
  readonly snapshot: Snapshot;
  readonly entries: readonly LogEntry[];
  readonly commit: number;
  readonly state: ReplicatedState;
  /** When an election starts unless a leader makes contact before. */
  readonly electionDeadlineUs: Micros;
  /** When a leader next sends heartbeats; on other nodes, when probes or join requests are next sent. */
  readonly nextHeartbeatUs: Micros;
  /** When a message of the current leader last arrived. */
  readonly leaderContactUs: Micros;
  readonly leaderSinceUs: Micros;
  readonly votes: ReadonlySet<string>;
  readonly progress: ReadonlyMap<string, Progress>;
  /** On a leader: the snapshot encoded for transfer, shared by all members that need it. */
  readonly encodedSnapshot?: EncodedSnapshot;
  /** On a follower: the pieces received of a snapshot in transfer. */
  readonly partialSnapshot?: PartialSnapshot;
  /** The round of a leader: increases with each heartbeat, read and `identify` message, which it numbers. */
  readonly round: number;
  readonly reads: readonly PendingRead[];
  /** The ids of the requests whose entries are not committed yet, by log index. */
  readonly pendingRequests: ReadonlyMap<number, string>;
  /** Joins whose identity a leader is verifying, by identity. */
  readonly joinChecks: ReadonlyMap<string, JoinCheck>;
  /** Whether this process is about to stop. */
  readonly isLeaving: boolean;
  /** When the leader is next notified of it. */
  readonly nextLeaveNoticeUs: Micros;
  /** Voters that have announced to stop, by identity, with the expiry of the notice. */
  readonly leaveNoticeExpiryUs: ReadonlyMap<string, Micros>;
  /** The deadline of a leadership transfer in progress; the leader refuses commands meanwhile. */
  readonly transferDeadlineUs: Micros | undefined;
};

export const defaultVoterCount = 3;
export const defaultStateLimitBytes = 24 << 20;

/** The snapshot of an empty log. */
export const emptySnapshot: Snapshot = { index: 0, term: 0, members: [], state: emptyReplicatedState };

/** A replica with an empty log that is in no core; `founds` says whether it may bootstrap one. */
export const createReplica = (
  identity: string,
  address: string,
  seeds: readonly string[],
  founds = true,
  voterCount = defaultVoterCount,
  stateLimitBytes = defaultStateLimitBytes,
): Replica => ({
  identity,
  address,
  seeds,
  knownAddresses: [],
  founds,
  targetVoterCount: voterCount,
  stateLimitBytes,
  atUs: 0,
  role: 'unfounded',
  term: 0,
  votedFor: undefined,
  leader: undefined,
  offer: undefined,
  probes: new Map(),
  probeNonce: '',
  snapshot: emptySnapshot,
  entries: [],
  commit: 0,
  state: emptyReplicatedState,
  electionDeadlineUs: 0,
  nextHeartbeatUs: 0,
  leaderContactUs: Number.NEGATIVE_INFINITY,
  leaderSinceUs: 0,
  votes: new Set(),
  progress: new Map(),
  round: 0,
  reads: [],
  pendingRequests: new Map(),
  joinChecks: new Map(),
  isLeaving: false,
  nextLeaveNoticeUs: 0,
  leaveNoticeExpiryUs: new Map(),
  transferDeadlineUs: undefined,
});
