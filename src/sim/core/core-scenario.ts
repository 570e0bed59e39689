import { randomBelow } from '../../common/random.js';
import type { SimRun, SimScenario } from '../sim-run.js';
import { sampleSetup } from '../sample-setup.js';
import { simOperatorService } from './sim-operator-service.js';
import { bringFaults, endFaults } from './core-faults.js';
import { openCoreFleet } from './core-fleet.js';

const second = 1_000_000;
const troubleEndsUs = 45 * second;
const recoveryUs = 12 * second;
/** Small, so that files rotate often while faults come. */
const ringFileBytes = 56 << 10;

const play = async (seed: number): Promise<SimRun> => {
  const fleet = openCoreFleet(seed, ringFileBytes);
  const { world, rules } = fleet;
  const desk = simOperatorService(fleet);
  const counts = { taken: 0, lostRace: 0, unknown: 0, reads: 0, claimsWon: 0, claimsRepeated: 0 };
  const faults: string[] = [];
  const takenNames = new Map<number, string>();
  const refusedNames = new Set<string>();
  const claimHolders = new Map<string, string>();
  let newestToldRevision = 0;
  let proposals = 0;

  const put = (expected: number, burst: boolean): void => {
    proposals += 1;
    const name = `setup-${proposals}`;
    const setup = sampleSetup(name);
    void desk.put(setup, name, expected).then((word) => {
      if (word.type === 'refused') refusedNames.add(name);
      if (word.type !== 'decided') {
        counts.unknown += 1;
        return;
      }
      const { outcome } = word;
      if (outcome.type === 'committed') {
        counts.taken += 1;
        if (outcome.revision !== expected + 1)
          rules.breakRule(`${name} was taken as ${outcome.revision} though it was for ${expected}`);
        const known = takenNames.get(outcome.revision);
        if (known !== undefined) rules.breakRule(`revision ${outcome.revision} was told to ${known} and ${name}`);
        takenNames.set(outcome.revision, name);
        newestToldRevision = Math.max(newestToldRevision, outcome.revision);
        if (burst) put(outcome.revision, false);
      } else {
        counts.lostRace += 1;
        refusedNames.add(name);
      }
    });
  };

  const read = (use: (revision: number) => void): void => {
    const leastRevision = newestToldRevision;
    void desk.read().then((word) => {
      if (word.type !== 'record' && word.type !== 'none') return;
      counts.reads += 1;
      const revision = word.type === 'record' ? word.record.revision : 0;
      if (revision < leastRevision) rules.breakRule(`a read gave revision ${revision} after ${leastRevision} was told`);
      use(revision);
    });
  };

  const claim = (): void => {
    const key = `key-${randomBelow(world.chance, 60)}`;
    const exchange = `x-${world.now()}-${randomBelow(world.chance, 1_000_000)}`;
    void fleet.client
      .ask({ type: 'propose', command: { type: 'claim', key, exchange, atUs: world.now() } }, 2 * second)
      .then((asked) =>
        asked.ifRight((word) => {
          if (word.type !== 'applied' || word.outcome.type !== 'claimed') return;
          if (!word.outcome.won) {
            counts.claimsRepeated += 1;
            return;
          }
          counts.claimsWon += 1;
          const holder = claimHolders.get(key);
          if (holder !== undefined && holder !== exchange)
            rules.breakRule(`${key} was won by ${holder} and ${exchange}`);
          claimHolders.set(key, exchange);
        }),
      );
  };

  const operate = (): void => {
    if (world.now() > troubleEndsUs) return;
    read((revision) => {
      put(revision, world.chance() < 0.3);
      if (world.chance() < 0.4) put(revision, false);
    });
    world.after(200_000 + world.chance() * second, operate);
  };
  const claimOn = (): void => {
    if (world.now() > troubleEndsUs) return;
    claim();
    world.after(world.chance() * 200_000, claimOn);
  };

  const readOn = (): void => {
    if (world.now() > troubleEndsUs) return;
    read(() => undefined);
    world.after(world.chance() * 120_000, readOn);
  };

  world.after(2 * second, readOn);
  world.after(2 * second, operate);
  world.after(2 * second, claimOn);
  bringFaults(fleet, troubleEndsUs, (name) => faults.push(`${Math.round(world.now() / 1000)} ms: ${name}`));
  await world.playUntil(troubleEndsUs);
  endFaults(fleet);
  let isBack = false;
  const tryPut = (): void =>
    read((revision) => {
      proposals += 1;
      const name = `setup-${proposals}`;
      void desk.put(sampleSetup(name), name, revision).then((word) => {
        if (word.type === 'decided' && word.outcome.type === 'committed') isBack = true;
      });
    });
  for (let attempt = 0; attempt < 5; attempt += 1) world.after(attempt * 2 * second, tryPut);
  await world.playUntil(troubleEndsUs + recoveryUs);
  if (!isBack) rules.breakRule('no setup could be taken within 12 s after trouble ended');
  await world.playUntil(troubleEndsUs + recoveryUs + 15 * second);

  const revisions = fleet.machines.map((machine) => machine.replica().state.record?.revision ?? 0);
  if (new Set(revisions).size > 1) rules.breakRule(`the machines ended at revisions ${revisions.join(', ')}`);
  for (const [revision, name] of takenNames)
    if (rules.nameAt(revision) !== name)
      rules.breakRule(`${name} was told taken as ${revision}, but ${rules.nameAt(revision) ?? 'nothing'} stands there`);
  for (let revision = 1; revision <= Math.max(...revisions); revision += 1) {
    const name = rules.nameAt(revision);
    if (name !== undefined && refusedNames.has(name))
      rules.breakRule(`${name} lost its race and was in force as ${revision}`);
  }
  return { broken: rules.broken(), counts, faults };
};

/** The core alone under every fault, with racing operators, bursts, reads and claims. */
export const coreScenario: SimScenario = {
  name: 'core',
  about: 'three core machines under kills, freezes, cuts, lost and stalled disks; racing operators, reads and claims',
  play,
};
