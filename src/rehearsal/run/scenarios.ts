import { steadyNow } from '../../common/micros.js';
import type { Setup } from '../../setup/document/setup.js';
import type { Deployment } from '../deployment/deployment.js';
import * as acts from './fault-acts.js';
import type { FaultAct } from './fault-acts.js';
import type { Scenario, ScenarioAct } from './scenario.js';

const second = 1_000_000;

/** Nothing but planned changes: nothing may be cut off, hardly anything refused, at any time. */
const planned = { plannedOnly: true, mostRefusedShare: 0.002, troubleEndsShare: 1 } as const;

const asGiven = (deployment: Deployment): Deployment => deployment;

const smaller = (deployment: Deployment): Deployment => ({ ...deployment, routers: 3, models: 5, webs: 2, exchangesPerSecond: 45 });

/** Few openings, each long: the traffic in which a cold join hurts. */
const fewLongOpenings = (deployment: Deployment): Deployment => ({
  ...deployment,
  kinds: deployment.kinds.map((kind) => ({ ...kind, openings: Math.min(kind.openings, 30), openingBytes: kind.openingBytes * 4 })),
});

const joinThree: ScenarioAct['act'] = async ({ hands, history }) => {
  for (const joiner of await hands.open(3, 'model')) history.joins.push({ server: joiner.listed.id, atUs: steadyNow() });
};

const joining = (name: string, about: string, setup: (setup: Setup) => Setup): Scenario => ({
  name,
  about,
  seconds: 60,
  ...planned,
  size: fewLongOpenings,
  setup,
  acts: [{ atShare: 0.33, name: 'three join', act: joinThree }],
});

const coldFigures = (setup: Setup): Setup => ({ ...setup, warmup: { ...setup.warmup, boundUs: 0, settleUs: 0 } });

const quickWarmup = (setup: Setup): Setup => ({ ...setup, warmup: { ...setup.warmup, boundUs: 6 * second, settleUs: 4 * second } });

const mostRefusedInTrouble = 0.03;

/** Four faults one after another in the first part of the time, and then time to come back. */
const faulty = (name: string, about: string, faults: readonly (readonly [string, FaultAct])[]): Scenario => ({
  name,
  about,
  seconds: 75,
  plannedOnly: false,
  mostRefusedShare: mostRefusedInTrouble,
  troubleEndsShare: 0.72,
  size: asGiven,
  setup: quickWarmup,
  acts: faults.map(([actName, act], place) => ({ atShare: 0.08 + place * 0.15, name: actName, act })),
});

/** Every scenario that `rehearse` knows. */
export const scenarios: readonly Scenario[] = [
  {
    name: 'short',
    about: 'a small fleet for a few seconds: one server joins, one leaves, the setup changes',
    seconds: 12,
    ...planned,
    size: smaller,
    setup: (setup) => ({ ...setup, fleet: { routers: 3 }, warmup: { ...setup.warmup, boundUs: 3 * second, settleUs: 2 * second } }),
    acts: [
      { atShare: 0.1, name: 'join', act: acts.join },
      { atShare: 0.2, name: 'leave', act: acts.leaveOne },
      { atShare: 0.5, name: 'setup change', act: acts.changeSetup },
    ],
  },
  {
    name: 'steady',
    about: 'the whole deployment: servers join and leave, the setup changes',
    seconds: 180,
    ...planned,
    size: asGiven,
    setup: (setup) => setup,
    acts: [
      { atShare: 0.15, name: 'join', act: acts.join },
      { atShare: 0.4, name: 'setup change', act: acts.changeSetup },
      { atShare: 0.5, name: 'leave', act: acts.leaveOne },
      { atShare: 0.65, name: 'join again', act: acts.join },
    ],
  },
  joining('join-warm', 'one server joins, with warm-up, single-flight and pace', (setup) => setup),
  joining('join-cold', 'one server joins cold: no warm-up, no pace, no waiting behind a prefill', (setup) => ({
    ...coldFigures(setup),
    flight: { boundUs: 0 },
  })),
  joining('join-flight', 'one server joins without warm-up and pace, but behind single-flight', coldFigures),
  {
    name: 'rolling',
    about: 'every model server is replaced and every router and core machine restarted, in turn and in order',
    seconds: 90,
    ...planned,
    size: asGiven,
    setup: quickWarmup,
    acts: [
      { atShare: 0.08, name: 'roll servers', act: acts.rollServers },
      { atShare: 0.1, name: 'roll routers', act: acts.rollRouters },
      { atShare: 0.7, name: 'roll core machines', act: acts.rollControls },
    ],
  },
  faulty('kills', 'routers killed alone and half of them at once, the leader of the core killed', [
    ['kill a router', acts.killRouter],
    ['kill the leader', acts.killLeader],
    ['kill half of the routers', acts.killHalf],
    ['change the setup', acts.changeSetup],
  ]),
  faulty('freezes', 'routers and the leader of the core freeze and wake', [
    ['freeze a router', acts.freezeRouter],
    ['freeze the leader', acts.freezeLeader],
    ['an address passes to another service in a freeze', acts.reuseAddress],
    ['change the setup', acts.changeSetup],
  ]),
  faulty('servers', 'model servers crash, go dark alone and all together; a server joins', [
    ['a server crashes', acts.crashServer],
    ['a server goes dark', acts.darkServer],
    ['a server joins', acts.join],
    ['all model servers go dark', acts.allDark],
  ]),
  faulty('cuts', 'the core is cut off and split, a router is isolated, while the setup changes', [
    ['cut the core off', acts.cutCoreOff],
    ['split the core', acts.splitCore],
    ['change the setup', acts.changeSetup],
    ['isolate a router', acts.isolateRouter],
  ]),
  faulty('core', 'a core machine comes back empty, operators race, put bursts, a large and a faulty setup', [
    ['operators race', acts.raceOperators],
    ['a core machine loses its disk', acts.loseDisk],
    ['operators race again', acts.raceOperators],
    ['kill the leader', acts.killLeader],
  ]),
  faulty('disks', "the leader's disk is slow, stalls, is full; the setup changes meanwhile", [
    ['the disk of the leader is slow', acts.slowLeaderDisk],
    ['change the setup', acts.changeSetup],
    ['the disk of the leader stalls', acts.stallLeaderDisk],
    ['the disk of the leader is full', acts.fillDisk],
  ]),
  faulty('moves', 'a core machine comes back empty at a new address, seeds move, a server leaves in a split', [
    ['a core machine moves', acts.moveCore],
    ['change the setup', acts.changeSetup],
    ['a server leaves in a split', acts.leaveInSplit],
    ['kill the leader', acts.killLeader],
  ]),
  faulty('crowd', 'traffic jumps to three times, most of it on one opening, and one last fault', [
    ['a crowd on one opening', acts.crowd],
    ['a server crashes', acts.crashServer],
    ['another crowd', acts.crowd],
    ['kill a router', acts.killRouter],
  ]),
];
