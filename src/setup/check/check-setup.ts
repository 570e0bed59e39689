import { Either, Left, Right } from 'purify-ts';
import { checked } from '../../common/checked.js';
import type { Fault } from '../../common/fault.js';
import type { Setup } from '../document/setup.js';
import { tenantFaults } from './tenant-faults.js';
import { setupSchema } from './setup-schema.js';

const crossFaults = (setup: Setup): readonly Fault[] => {
  const knownServices = new Set(setup.services.map((service) => service.name));
  const knownTiers = new Set(setup.tiers.map((tier) => tier.name));
  const ruleFaults = setup.rules.flatMap((rule, index) => [
    ...(knownServices.has(rule.service)
      ? []
      : [{ path: `rules[${index}].service`, message: `no service is named ${rule.service}` }]),
    ...(rule.split ?? []).flatMap((share, place) =>
      knownServices.has(share.service)
        ? []
        : [{ path: `rules[${index}].split[${place}].service`, message: `no service is named ${share.service}` }],
    ),
    ...(rule.split !== undefined && rule.split.every((share) => share.weight === 0)
      ? [{ path: `rules[${index}].split`, message: 'the weights add up to 0' }]
      : []),
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
  const placeOf = (rule: Setup['rules'][number]): string | undefined =>
    rule.match && `${rule.match.host}${rule.match.path}`;
  const firstPlaces = new Map<string, number>();
  const matchFaults = setup.rules.flatMap((rule, index) => {
    const place = placeOf(rule);
    if (place === undefined) return [];
    const first = firstPlaces.get(place);
    if (first === undefined) firstPlaces.set(place, index);
    return first === undefined
      ? []
      : [{ path: `rules[${index}].match`, message: `rules[${first}] is for the same host and path` }];
  });
  return [...ruleFaults, ...shareFaults, ...matchFaults, ...tenantFaults(setup)];
};

/** Checks an operator's setup whole, and lists every fault by path. */
export const checkSetup = (value: unknown): Either<readonly Fault[], Setup> =>
  checked(setupSchema, value).chain((setup) => {
    const foundFaults = crossFaults(setup);
    return foundFaults.length === 0 ? Right(setup) : Left(foundFaults);
  });
