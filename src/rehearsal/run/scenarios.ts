import type { Deployment } from '../deployment/deployment.js';
import type { RehearsalParts } from './rehearsal-parts.js';
import type { Scenario, ScenarioAct } from './scenario.js';

const second = 1_000_000;

const asGiven = (deployment: Deployment): Deployment => deployment;

const join: ScenarioAct['act'] = async ({ hands }) => {
  await hands.open(1, 'model');
};

const leaveOne: ScenarioAct['act'] = async ({ hands, deployment, pause }: RehearsalParts) => {
  const leaver = hands.servers().find((server) => server.listed.service === deployment.modelService);
  if (leaver === undefined) return;
  hands.leave(leaver.listed.id);
  await pause(9_000);
  hands.remove(leaver.listed.id);
};

const changeSetup: ScenarioAct['act'] = async ({ put, setup }) => {
  await put({ ...setup, pressure: { ...setup.pressure, slots: setup.pressure.slots - 1 } });
};

const smaller = (deployment: Deployment): Deployment => ({ ...deployment, routers: 3, models: 5, webs: 2, exchangesPerSecond: 45 });

/** Every scenario that `rehearse` knows. */
export const scenarios: readonly Scenario[] = [
  {
    name: 'short',
    about: 'a small fleet for a few seconds: one server joins, one leaves, the setup changes',
    seconds: 12,
    plannedOnly: true,
    size: smaller,
    setup: (setup) => ({ ...setup, fleet: { routers: 3 }, warmup: { ...setup.warmup, boundUs: 3 * second, settleUs: 2 * second } }),
    acts: [
      { atShare: 0.1, name: 'join', act: join },
      { atShare: 0.2, name: 'leave', act: leaveOne },
      { atShare: 0.5, name: 'setup change', act: changeSetup },
    ],
  },
  {
    name: 'steady',
    about: 'the whole deployment: servers join and leave, the setup changes',
    seconds: 180,
    plannedOnly: true,
    size: asGiven,
    setup: (setup) => setup,
    acts: [
      { atShare: 0.15, name: 'join', act: join },
      { atShare: 0.4, name: 'setup change', act: changeSetup },
      { atShare: 0.5, name: 'leave', act: leaveOne },
      { atShare: 0.65, name: 'join again', act: join },
    ],
  },
];
