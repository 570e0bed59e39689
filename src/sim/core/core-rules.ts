import type { Replica } from '../../control/machine/replica.js';
import { stateDigestOf } from '../../control/state/state-digest.js';
import type { Log } from '../../process/log.js';
import { violationMessage } from '../../router/guarantees/guarantee-monitor.js';
import type { World } from '../world/world.js';

/** What a run of the core must never show, gathered as it goes. */
export type CoreRules = {
  readonly broken: () => readonly string[];
  readonly breakRule: (what: string) => void;
  /** The name of the setup that stands at a revision. */
  readonly nameAt: (revision: number) => string | undefined;
  /** State machine safety: replicas of one leader and one commit index have applied the same state. */
  readonly compareStates: (replicas: readonly Replica[]) => void;
  /** The log of one process, read as it is written. */
  readonly logOf: (identity: () => string) => Log;
};

/** Listens to every process: one leader a term, one setup a revision, one state an index. */
export const openCoreRules = (world: World): CoreRules => {
  const brokenRules: string[] = [];
  const leaderOfTerm = new Map<number, string>();
  const nameOfRevision = new Map<number, string>();
  const breakRule = (what: string): void => void brokenRules.push(`at ${world.now()} us: ${what}`);
  const oneEach = (known: Map<number, string>, place: number, name: string, rule: string): void => {
    const former = known.get(place);
    if (former !== undefined && former !== name) breakRule(`${rule} ${place} had ${former} and ${name}`);
    known.set(place, name);
  };
  return {
    broken: () => brokenRules,
    breakRule,
    nameAt: (revision) => nameOfRevision.get(revision),
    compareStates: (replicas) => {
      const digestAt = new Map<string, string>();
      for (const { leader, term, commit, state } of replicas) {
        if (leader === undefined) continue;
        const place = `${leader} term ${term} entry ${commit}`;
        const digest = stateDigestOf(state);
        const known = digestAt.get(place);
        if (known !== undefined && known !== digest) breakRule(`two replicas of ${place} have applied other states`);
        digestAt.set(place, digest);
      }
    },
    logOf: (identity) => ({
      change: (what, facts) => {
        if (what === 'role' && facts['role'] === 'leader')
          oneEach(leaderOfTerm, Number(facts['term']), identity(), 'term');
        if (what === 'setup in force')
          oneEach(nameOfRevision, Number(facts['revision']), String(facts['name']), 'revision');
        if (what === violationMessage) breakRule(`${identity()} broke a promise: ${JSON.stringify(facts)}`);
      },
    }),
  };
};
