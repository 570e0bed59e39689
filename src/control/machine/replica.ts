import type { Micros } from '../../common/micros.js';
import type { Snapshot } from '../log/snapshot.js';
import type { LogEntry } from '../log/log-entry.js';
import type { ReplicatedState } from '../state/replicated-state.js';
import { startReplicatedState } from '../state/replicated-state.js';
import type { JoinCheck } from '../members/join-check.js';
import type { EncodedSnapshot } from '../wire/snapshot-text.js';
import type { PartialSnapshot } from './partial-snapshot.js';
import type { PendingRead } from './pending-read.js';
import type { Progress } from './progress.js';
import type { Role } from './role.js';

/** What a machine says of itself before a core is founded. */
export type SeedProbe = {
  readonly identity: string;
  /** The members it has bound itself to, if any. */
  readonly offer: string | undefined;
  readonly founded: boolean;
  /** Whether it may found a core; a machine whose disk came empty later may not. */
  readonly founds: boolean;
  /** The question that this answered. */
  readonly nonce: string;
};

/** The whole replica of one core machine. */
export type Replica = {
  readonly identity: string;
  readonly address: string;
  readonly seeds: readonly string[];
  /** Core machines that are known otherwise; they found nothing, they only show the way. */
  readonly knownAddresses: readonly string[];
  /** Whether it may found a core with the other seeds. */
  readonly founds: boolean;
  /** How many voters a leader brings the core to. */
  readonly votersWanted: number;
  /** How large the replicated state may become; a leader takes nothing that would pass it. */
  readonly stateLimitBytes: number;
  readonly atUs: Micros;
  readonly role: Role;
  readonly term: number;
  readonly votedFor: string | undefined;
  readonly leader: string | undefined;
  readonly offer: string | undefined;
  /** The newest probe of each address, while there is no core yet. */
  readonly probes: ReadonlyMap<string, SeedProbe>;
  /** The newest question to the other seeds. */
  readonly probeNonce: string;
  readonly snapshot: Snapshot;
  readonly entries: readonly LogEntry[];
  readonly commit: number;
  readonly state: ReplicatedState;
  readonly electionUs: Micros;
  readonly heartbeatUs: Micros;
  readonly leaderContactUs: Micros;
  readonly leadsSinceUs: Micros;
  readonly votes: ReadonlySet<string>;
  readonly progress: ReadonlyMap<string, Progress>;
  /** A leader's snapshot as it is sent, encoded once for all members that need it. */
  readonly encodedSnapshot?: EncodedSnapshot;
  /** What a follower has of a snapshot that is on its way. */
  readonly partialSnapshot?: PartialSnapshot;
  readonly round: number;
  readonly reads: readonly PendingRead[];
  readonly pendingRequests: ReadonlyMap<number, string>;
  /** Joins that a leader is checking with the address they name, by identity. */
  readonly joinChecks: ReadonlyMap<string, JoinCheck>;
  /** Whether this machine was told to stop, and when it tells the leader next. */
  readonly isLeaving: boolean;
  readonly leaveAnnouncedUs: Micros;
  /** Voters that a leader heard are about to stop, and until when that counts. */
  readonly leavingUntilUs: ReadonlyMap<string, Micros>;
  /** Until when a leader tries to hand its leadership over; it takes no commands meanwhile. */
  readonly transferUntilUs: Micros | undefined;
};

export const usualVoters = 3;
export const usualStateLimitBytes = 24 << 20;

export const startSnapshot: Snapshot = { index: 0, term: 0, members: [], state: startReplicatedState };

export const startReplica = (
  identity: string,
  address: string,
  seeds: readonly string[],
  founds = true,
  votersWanted = usualVoters,
  stateLimitBytes = usualStateLimitBytes,
): Replica => ({
  identity,
  address,
  seeds,
  knownAddresses: [],
  founds,
  votersWanted,
  stateLimitBytes,
  atUs: 0,
  role: 'unfounded',
  term: 0,
  votedFor: undefined,
  leader: undefined,
  offer: undefined,
  probes: new Map(),
  probeNonce: '',
  snapshot: startSnapshot,
  entries: [],
  commit: 0,
  state: startReplicatedState,
  electionUs: 0,
  heartbeatUs: 0,
  leaderContactUs: Number.NEGATIVE_INFINITY,
  leadsSinceUs: 0,
  votes: new Set(),
  progress: new Map(),
  round: 0,
  reads: [],
  pendingRequests: new Map(),
  joinChecks: new Map(),
  isLeaving: false,
  leaveAnnouncedUs: 0,
  leavingUntilUs: new Map(),
  transferUntilUs: undefined,
});
