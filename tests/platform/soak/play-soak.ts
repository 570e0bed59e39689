import { readFileSync } from 'node:fs';
import { randomItem, seededRandom, randomBelow, type RandomSource } from '../../../src/common/random.js';
import { callEvery } from '../../../src/common/clock/every.js';
import { monotonicClock } from '../../../src/common/clock/monotonic-clock.js';
import { monotonicNow, type Micros } from '../../../src/common/micros.js';
import { alarmsIn } from '../../../src/rehearsal/checker/broken-promises.js';
import { unservedOf } from './unserved.js';
import { judgeSoak } from './judge-soak.js';
import { troubleKinds, type Trouble } from './soak-troubles.js';
import { openSoakWorld, type SoakWorld } from './soak-world.js';

export type SoakPlan = {
  readonly seed: number;
  /** How many times two or three troubles begin together. */
  readonly rounds: number;
  readonly tell: (line: string) => void;
};

/** What a soak came to. */
export type SoakEnd = {
  readonly requests: number;
  readonly served: number;
  /** How the last tries of requests ended that were not served, most frequent first. */
  readonly unserved: readonly string[];
  readonly troubles: readonly string[];
  /** Every broken rule and promise. */
  readonly faults: readonly string[];
  /** The logs of all processes, where something was broken. */
  readonly logs: string;
};

const second = 1_000_000;
const startUs: Micros = 15 * second;
/** Service must be back within so long after the last trouble. */
const healUs: Micros = 12 * second;
const calmUs: Micros = 3 * second;
const readSpanUs: Micros = 500_000;
const lookUs: Micros = 50_000;
const spreadUs = 1_500_000;

const until = async (world: SoakWorld, isSo: () => boolean, budgetUs: Micros): Promise<boolean> => {
  const dueUs = monotonicNow() + budgetUs;
  while (!isSo() && monotonicNow() < dueUs) await world.pause(lookUs);
  return isSo();
};

/** Two or three troubles of different kinds. */
const drawRound = (chance: RandomSource): readonly Trouble[] => {
  const drawn: Trouble[] = [];
  let left = troubleKinds;
  const count = 2 + randomBelow(chance, 2);
  while (drawn.length < count) {
    const kind = randomItem(chance, left);
    const trouble = kind === undefined ? undefined : randomItem(chance, kind);
    if (kind === undefined || trouble === undefined) break;
    left = left.filter((other) => other !== kind);
    drawn.push(trouble);
  }
  return drawn;
};

const playRound = async (world: SoakWorld, round: readonly Trouble[]): Promise<void> => {
  await Promise.all(
    round.map(async ({ act }) => {
      await world.pause(randomBelow(world.chance, spreadUs));
      await act(world);
    }),
  );
};

const textOf = (path: string): string => {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    return '';
  }
};

const alarmsOf = ({ fleet }: SoakWorld): readonly string[] =>
  [...fleet.controls, ...fleet.routers].flatMap(({ launched: { node, logPath } }) =>
    alarmsIn(node, textOf(logPath)).map(({ rule, detail }) => `${rule}: ${detail}`),
  );

const started = async (world: SoakWorld): Promise<void> => {
  for (const { launched } of [...world.fleet.controls, ...world.fleet.routers]) launched.start();
  const first = await world.operator.change({}, startUs);
  if (first.status !== 200) throw new Error(`the first configuration was not taken but ${first.status}`);
  if (!(await until(world, world.areAllReady, startUs))) throw new Error('not all routers became ready');
};

/** Plays one soak on real processes of the deployed roles. */
export const playSoak = async ({ seed, rounds, tell }: SoakPlan): Promise<SoakEnd> => {
  const chance = seededRandom(seed);
  const plan = Array.from({ length: rounds }, () => drawRound(chance));
  const world = await openSoakWorld(chance);
  let endReads = (): void => undefined;
  try {
    await started(world);
    world.startTraffic();
    endReads = callEvery(monotonicClock, readSpanUs, () => void world.operator.read());
    await world.pause(second);
    for (const round of plan) {
      tell(`seed ${seed}: ${round.map(({ name }) => name).join(' + ')}`);
      await playRound(world, round);
    }
    const isBack = await until(world, world.areAllReady, healUs);
    const wholeUs = monotonicNow();
    await world.pause(calmUs);
    await world.stopTraffic();
    endReads();
    await world.operator.read();
    const forgot = plan.flat().some(({ forgets }) => forgets === true);
    const faults = [
      ...(isBack ? [] : ['RECOVER not all routers were ready again in time']),
      ...judgeSoak({ world, wholeUs, forgot }),
      ...alarmsOf(world),
    ];
    return {
      requests: world.requests.length,
      served: world.requests.filter(({ end }) => end.isServed).length,
      unserved: unservedOf(world, world.requests),
      troubles: plan.flat().map(({ name }) => name),
      faults,
      logs: faults.length === 0 ? '' : world.fleet.logs(),
    };
  } finally {
    endReads();
    await world.close();
  }
};
