import type { Micros } from '../../common/micros.js';
import type { ControlImage } from '../log/control-image.js';
import type { LogEntry } from '../log/log-entry.js';
import type { ControlState } from '../state/control-state.js';
import { startControlState } from '../state/control-state.js';
import type { PendingRead } from './pending-read.js';
import type { Progress } from './progress.js';
import type { Role } from './role.js';

/** The whole view of one core machine. */
export type ControlView = {
  readonly identity: string;
  readonly address: string;
  readonly seeds: readonly string[];
  /** Core machines that are known otherwise; they found nothing, they only show the way. */
  readonly known: readonly string[];
  /** Whether it may found a core with the other seeds. */
  readonly founds: boolean;
  /** How many voters a leader brings the core to. */
  readonly votersWanted: number;
  readonly atUs: Micros;
  readonly role: Role;
  readonly term: number;
  readonly votedFor: string | undefined;
  readonly leader: string | undefined;
  readonly offer: string | undefined;
  readonly hellos: ReadonlyMap<
    string,
    { readonly identity: string; readonly offer: string | undefined; readonly founded: boolean }
  >;
  readonly image: ControlImage;
  readonly entries: readonly LogEntry[];
  readonly commit: number;
  readonly state: ControlState;
  readonly electionUs: Micros;
  readonly heartbeatUs: Micros;
  readonly heardLeaderUs: Micros;
  readonly leadsSinceUs: Micros;
  readonly votes: ReadonlySet<string>;
  readonly progress: ReadonlyMap<string, Progress>;
  readonly round: number;
  readonly reads: readonly PendingRead[];
  readonly asks: ReadonlyMap<number, string>;
};

export const usualVoters = 3;

export const startImage: ControlImage = { index: 0, term: 0, members: [], state: startControlState };

export const startControlView = (
  identity: string,
  address: string,
  seeds: readonly string[],
  founds = true,
  votersWanted = usualVoters,
): ControlView => ({
  identity,
  address,
  seeds,
  known: [],
  founds,
  votersWanted,
  atUs: 0,
  role: 'unfounded',
  term: 0,
  votedFor: undefined,
  leader: undefined,
  offer: undefined,
  hellos: new Map(),
  image: startImage,
  entries: [],
  commit: 0,
  state: startControlState,
  electionUs: 0,
  heartbeatUs: 0,
  heardLeaderUs: Number.NEGATIVE_INFINITY,
  leadsSinceUs: 0,
  votes: new Set(),
  progress: new Map(),
  round: 0,
  reads: [],
  asks: new Map(),
});
