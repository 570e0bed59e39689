import type { SimRun, SimScenario } from '../sim-run.js';
import { openCoreFleet, type AskedCore } from './core-fleet.js';
import { usualDiskUs, type SimControl } from './sim-control.js';

const second = 1_000_000;
const mostGapUs = 5 * second;

const isolated = (fleet: AskedCore, leader: SimControl): void => {
  for (const other of fleet.machines)
    if (other !== leader) {
      fleet.network.cut(leader.address(), other.address());
      fleet.network.cut(other.address(), leader.address());
    }
};

type Loss = {
  readonly name: string;
  readonly bring: (fleet: AskedCore, leader: SimControl) => void;
  readonly end: (fleet: AskedCore, leader: SimControl) => void;
};

const losses: readonly Loss[] = [
  {
    name: 'resigned',
    bring: (_fleet, leader) => leader.terminate(() => undefined),
    end: (_fleet, leader) => leader.start(),
  },
  { name: 'killed', bring: (_fleet, leader) => leader.kill(), end: (_fleet, leader) => leader.start() },
  { name: 'frozen', bring: (_fleet, leader) => leader.node.freeze(), end: (_fleet, leader) => leader.node.wake() },
  { name: 'isolated', bring: isolated, end: (fleet) => fleet.network.heal() },
  {
    name: 'diskStalled',
    bring: (_fleet, leader) => leader.slowDisk(5 * second),
    end: (_fleet, leader) => leader.slowDisk(usualDiskUs),
  },
  {
    name: 'diskFull',
    bring: (_fleet, leader) => leader.fillDisk(true),
    end: (_fleet, leader) => {
      leader.fillDisk(false);
      leader.start();
    },
  },
];

/** Loses the leader in every way, one after another, and measures how long no claim is decided. */
const play = async (seed: number): Promise<SimRun> => {
  const fleet = openCoreFleet(seed);
  const { world, rules, client } = fleet;
  const counts: Record<string, number> = {};
  let decidedUs = 0;
  let gapUs = 0;
  let claims = 0;
  const claim = (): void => {
    claims += 1;
    const command = { type: 'claim' as const, key: `k${claims}`, exchange: `x${claims}`, atUs: world.now() };
    void client.ask({ type: 'propose', command }, 5 * second).then((asked) =>
      asked
        .ifRight(() => {
          gapUs = Math.max(gapUs, world.now() - decidedUs);
          decidedUs = world.now();
        })
        .ifLeft((error) =>
          rules.breakRule(`almost-no-refusals: a claim was not decided in its budget (${error.type})`),
        ),
    );
    world.after(20_000, claim);
  };
  world.after(3 * second, claim);
  await world.playUntil(6 * second);
  for (const loss of losses) {
    const leader = fleet.leader();
    if (leader === undefined) {
      rules.breakRule(`no leader before it was to be ${loss.name}`);
      continue;
    }
    gapUs = 0;
    loss.bring(fleet, leader);
    await fleet.playFor(6 * second);
    counts[`${loss.name}Millis`] = Math.round(gapUs / 1000);
    if (gapUs > mostGapUs)
      rules.breakRule(
        `back-within-twelve-seconds: ${Math.round(gapUs / 1000)} ms without a claim when the leader was ${loss.name}`,
      );
    loss.end(fleet, leader);
    await fleet.playFor(9 * second);
  }
  return { broken: rules.broken(), counts, faults: losses.map(({ name }) => name) };
};

/** How long the core is without a leader, by cause. */
export const failoverScenario: SimScenario = {
  name: 'failover',
  about:
    'the leader of the core is lost in every way; counts are the milliseconds without a decided claim, summed over seeds',
  play,
};
