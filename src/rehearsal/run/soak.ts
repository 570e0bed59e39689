import { oneOf, type Chance } from '../../common/chance.js';
import * as core from './acts/core-acts.js';
import type { FaultAct } from './acts/fault-act.js';
import * as links from './acts/link-acts.js';
import * as localities from './acts/locality-acts.js';
import * as nodes from './acts/node-acts.js';
import * as servers from './acts/server-acts.js';
import * as setups from './acts/setup-acts.js';
import * as traffic from './acts/traffic-acts.js';
import type { ScenarioAct } from './scenario.js';

type Trouble = readonly [name: string, act: FaultAct];

/** Troubles of one kind; two of the same kind do not begin together. */
const kinds: readonly (readonly Trouble[])[] = [
  [
    ['kill a router', nodes.killRouter],
    ['kill half of the routers', nodes.killHalf],
    ['kill all routers', nodes.killAllRouters],
    ['kill every process', nodes.killAll],
    ['restart the routers in order', nodes.rollRouters],
  ],
  [
    ['kill the leader', nodes.killLeader],
    ['freeze the leader', nodes.freezeLeader],
    ['restart the core machines in order', nodes.rollControls],
    ['the disk of the leader is slow', core.slowLeaderDisk],
    ['the disk of the leader stalls', core.stallLeaderDisk],
  ],
  [['freeze a router', nodes.freezeRouter]],
  [
    ['cut the core off', links.cutCoreOff],
    ['split the core', links.splitCore],
    ['isolate a router', links.isolateRouter],
    ['split off a locality', localities.splitLocality],
  ],
  [
    ['a server crashes', servers.crashServer],
    ['a server goes dark', servers.darkServer],
    ['a server turns grey', servers.greyServer],
    ['an address passes to another service in a freeze', servers.reuseAddress],
  ],
  [
    ['a server joins', servers.join],
    ['a server leaves', servers.leaveOne],
    ['a server leaves in its warm-up', servers.leaveInWarmUp],
    ['a server leaves in a carry-over', servers.leaveInCarryOver],
  ],
  [
    ['operators race', setups.raceOperators],
    ['the setup changes', setups.changeSetup],
    ['a burst of large setups', setups.burstOfLarge],
  ],
  [['a crowd comes', traffic.crowd]],
];

/** Only one of these in a run: a core of three bears the loss of one disk. */
const diskLosses: readonly Trouble[] = [
  ['a core machine loses its disk', core.loseDisk],
  ['a core machine moves', core.moveCore],
];

/** When troubles begin together, as shares of the running time. */
const rounds = [0.05, 0.22, 0.4] as const;
const lastRound = rounds.length - 1;
/** Within this share of the running time the troubles of a round begin one after another. */
const spread = 0.04;
/** Whether a run has a loss of a disk. */
const diskLossShare = 0.5;

const withoutOne = <T>(items: readonly T[], taken: T): readonly T[] => items.filter((item) => item !== taken);

const drawRound = (chance: Chance, atShare: number): readonly ScenarioAct[] => {
  const acts: ScenarioAct[] = [];
  let left = kinds;
  const count = chance() < 0.5 ? 2 : 3;
  while (acts.length < count) {
    const kind = oneOf(chance, left);
    const trouble = kind === undefined ? undefined : oneOf(chance, kind);
    if (kind === undefined || trouble === undefined) break;
    left = withoutOne(left, kind);
    const [name, act] = trouble;
    acts.push({ atShare: atShare + chance() * spread, name, act });
  }
  return acts;
};

/** Draws the troubles of a soak: two or three at a time overlap, in three rounds, and at most one disk is lost. */
export const drawSoak = (chance: Chance): readonly ScenarioAct[] => {
  const acts = rounds.flatMap((atShare) => drawRound(chance, atShare));
  const loss = chance() < diskLossShare ? oneOf(chance, diskLosses) : undefined;
  if (loss === undefined) return acts;
  const [name, act] = loss;
  const round = rounds[Math.floor(chance() * lastRound)] ?? rounds[0];
  return [...acts, { atShare: round + chance() * spread, name, act }];
};
