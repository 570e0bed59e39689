import { isDeepStrictEqual } from 'node:util';
import { randomItem } from '../../common/random.js';
import type { Micros } from '../../common/micros.js';
import { votersOf } from '../../control/machine/log-queries.js';
import type { ConfigurationClient } from './configuration-client.js';
import type { CoreFleet } from './core-fleet.js';
import type { SimControl } from './sim-control.js';

const attemptEveryUs: Micros = 500_000;

/** Orders on top of what is read until one is committed; gives the time that took, or nothing after the bound. */
export const untilCommitted = async (
  fleet: CoreFleet,
  client: ConfigurationClient,
  title: string,
  boundUs: Micros,
): Promise<Micros | undefined> => {
  const { world } = fleet;
  const startedUs = world.now();
  let committedUs: Micros | undefined;
  const attempt = async (number: number): Promise<void> => {
    const machine = randomItem(
      world.chance,
      fleet.machines.filter((known) => known.isUp()),
    );
    const base = machine === undefined ? undefined : (await client.read(machine))?.version;
    if (machine === undefined || base === undefined) return;
    const answer = await client.order(machine, { base, version: base + 1, title: `${title} ${number}` });
    if (answer === 'committed') committedUs ??= world.now();
  };
  for (let number = 1; committedUs === undefined && world.now() < startedUs + boundUs; number += 1) {
    void attempt(number);
    await fleet.playFor(attemptEveryUs);
  }
  return committedUs === undefined ? undefined : committedUs - startedUs;
};

/** Breaks a rule for each machine whose applied state differs from the leader's. */
export const checkEqualStates = (fleet: CoreFleet, machines: readonly SimControl[] = fleet.machines): void => {
  const leader = fleet.leader();
  if (leader === undefined) {
    fleet.rules.breakRule('equal-states: there is no leader at the end');
    return;
  }
  const wanted = leader.replica();
  for (const machine of machines) {
    const own = machine.replica();
    if (own.commit !== wanted.commit)
      fleet.rules.breakRule(
        `equal-states: ${machine.name} ended at commit ${own.commit}, the leader at ${wanted.commit}`,
      );
    else if (!isDeepStrictEqual(own.state, wanted.state))
      fleet.rules.breakRule(`equal-states: ${machine.name} applied something else up to ${own.commit}`);
  }
};

/** Breaks a rule unless the leader knows as many voters as wanted, each at a machine that is up. */
export const checkVoters = (fleet: CoreFleet, wanted: number, when: string): void => {
  const leader = fleet.leader();
  const voters = leader === undefined ? [] : votersOf(leader.replica());
  const present = voters.filter((voter) =>
    fleet.machines.some((machine) => machine.isUp() && machine.replica().identity === voter.identity),
  );
  if (present.length !== wanted)
    fleet.rules.breakRule(
      `voters: ${present.length} of ${wanted} present ${when} (${voters.map((voter) => voter.identity).join(', ')})`,
    );
};

/** Breaks a rule where the history of operators has no explanation or an answer took too long. */
export const checkHistory = (
  fleet: CoreFleet,
  client: ConfigurationClient,
  most: { readonly orderUs: Micros; readonly readUs: Micros },
): void => {
  const violation = client.violation();
  if (violation !== undefined) fleet.rules.breakRule(violation);
  const slowest = client.slowestUs();
  if (slowest.order > most.orderUs)
    fleet.rules.breakRule(`bounded-answers: an order waited ${Math.round(slowest.order / 1000)} ms`);
  if (slowest.read > most.readUs)
    fleet.rules.breakRule(`bounded-answers: a read waited ${Math.round(slowest.read / 1000)} ms`);
};
