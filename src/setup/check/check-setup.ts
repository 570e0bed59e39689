import { Either, Left, Right } from 'purify-ts';
import { validate } from '../../common/validate.js';
import type { Fault } from '../../common/fault.js';
import type { Setup } from '../document/setup.js';
import { tenantFaults } from './tenant-faults.js';
import { setupSchema } from './setup-schema.js';

/** Violations of constraints between the fields of a setup that is valid against the schema. */
const crossFaults = (setup: Setup): readonly Fault[] => {
  const knownServices = new Set(setup.services.map((service) => service.name));
  const knownTiers = new Set(setup.tiers.map((tier) => tier.name));
  const ruleFaults = setup.rules.flatMap((rule, index) => [
    ...(knownServices.has(rule.service)
      ? []
      : [{ path: `rules[${index}].service`, message: `no service is named ${rule.service}` }]),
    ...(rule.split ?? []).flatMap((share, shareIndex) =>
      knownServices.has(share.service)
        ? []
        : [{ path: `rules[${index}].split[${shareIndex}].service`, message: `no service is named ${share.service}` }],
    ),
    ...(rule.split !== undefined && rule.split.every((share) => share.weight === 0)
      ? [{ path: `rules[${index}].split`, message: 'the weights add up to 0' }]
      : []),
    ...(knownTiers.has(rule.tier) ? [] : [{ path: `rules[${index}].tier`, message: `no tier is named ${rule.tier}` }]),
    ...(rule.resumable && !rule.repeatable
      ? [{ path: `rules[${index}].resumable`, message: 'a rule that is not repeatable can not be resumable' }]
      : []),
  ]);
  const shareFaults = setup.tiers.flatMap((tier, index) => {
    const upperTier = setup.tiers[index - 1];
    return upperTier !== undefined && tier.share > upperTier.share
      ? [{ path: `tiers[${index}].share`, message: 'the share must not exceed the share of the tier above' }]
      : [];
  });
  const matchKeyOf = (rule: Setup['rules'][number]): string | undefined =>
    rule.match && `${rule.match.host}${rule.match.path}`;
  const firstIndexes = new Map<string, number>();
  const matchFaults = setup.rules.flatMap((rule, index) => {
    const matchKey = matchKeyOf(rule);
    if (matchKey === undefined) return [];
    const firstIndex = firstIndexes.get(matchKey);
    if (firstIndex === undefined) firstIndexes.set(matchKey, index);
    return firstIndex === undefined
      ? []
      : [{ path: `rules[${index}].match`, message: `duplicate host and path: rules[${firstIndex}] has the same` }];
  });
  return [...ruleFaults, ...shareFaults, ...matchFaults, ...tenantFaults(setup)];
};

/**
 * Validates a setup from an operator and lists every fault with its path. Faults between fields are reported only if
 * the setup is valid against the schema.
 */
export const checkSetup = (value: unknown): Either<readonly Fault[], Setup> =>
  validate(setupSchema, value).chain((setup) => {
    const faults = crossFaults(setup);
    return faults.length === 0 ? Right(setup) : Left(faults);
  });
