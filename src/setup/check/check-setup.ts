import { Either, Left, Right } from 'purify-ts';
import { checked } from '../../common/checked.js';
import type { Fault } from '../../common/fault.js';
import type { Setup } from '../document/setup.js';
import { setupSchema } from './setup-schema.js';

const crossFaults = (setup: Setup): readonly Fault[] => {
  const knownServices = new Set(setup.services.map((service) => service.name));
  const knownTiers = new Set(setup.tiers.map((tier) => tier.name));
  const ruleFaults = setup.rules.flatMap((rule, index) => [
    ...(knownServices.has(rule.service) ? [] : [{ path: `rules[${index}].service`, message: `no service is named ${rule.service}` }]),
    ...(knownTiers.has(rule.tier) ? [] : [{ path: `rules[${index}].tier`, message: `no tier is named ${rule.tier}` }]),
    ...(rule.resumable && !rule.repeatable
      ? [{ path: `rules[${index}].resumable`, message: 'a kind that runs once can not be resumable' }]
      : []),
  ]);
  const shareFaults = setup.tiers.flatMap((tier, index) => {
    const upperTier = setup.tiers[index - 1];
    return upperTier !== undefined && tier.share > upperTier.share
      ? [{ path: `tiers[${index}].share`, message: 'a tier may not have a larger share than the tier above it' }]
      : [];
  });
  return [...ruleFaults, ...shareFaults];
};

/** Checks an operator's setup whole, and lists every fault by path. */
export const checkSetup = (value: unknown): Either<readonly Fault[], Setup> =>
  checked(setupSchema, value).chain((setup) => {
    const foundFaults = crossFaults(setup);
    return foundFaults.length === 0 ? Right(setup) : Left(foundFaults);
  });
