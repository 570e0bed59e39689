import type { Rule } from '../document/rule.js';
import type { Setup } from '../document/setup.js';

/** The rules of one host by path, and the lengths that paths have there, the longest first. */
type HostRules = {
  readonly byPath: ReadonlyMap<string, Rule>;
  readonly pathLengths: readonly number[];
};

/** The rules of a setup by kind, and by host and path. */
export type RuleIndex = {
  readonly byKind: ReadonlyMap<string, Rule>;
  readonly byHost: ReadonlyMap<string, HostRules>;
};

const knownIndexes = new WeakMap<Setup, RuleIndex>();

const hostRulesOf = (byPath: ReadonlyMap<string, Rule>): HostRules => ({
  byPath,
  pathLengths: [...new Set([...byPath.keys()].map((path) => path.length))].sort((left, right) => right - left),
});

const indexOf = ({ rules }: Setup): RuleIndex => {
  const pathsByHost = new Map<string, Map<string, Rule>>();
  for (const rule of rules) {
    if (rule.match === undefined) continue;
    const host = rule.match.host.toLowerCase();
    const paths = pathsByHost.get(host) ?? new Map<string, Rule>();
    if (!paths.has(rule.match.path)) paths.set(rule.match.path, rule);
    pathsByHost.set(host, paths);
  }
  return {
    byKind: new Map(rules.map((rule) => [rule.kind, rule])),
    byHost: new Map([...pathsByHost].map(([host, paths]) => [host, hostRulesOf(paths)])),
  };
};

export const ruleIndexOf = (setup: Setup): RuleIndex => {
  const knownIndex = knownIndexes.get(setup);
  if (knownIndex !== undefined) return knownIndex;
  const index = indexOf(setup);
  knownIndexes.set(setup, index);
  return index;
};

/**
 * The rule for a host and a path: of those of the host, the one with the longest path that the path begins with. It
 * costs one look-up for each length that the paths of the host have, however many rules there are.
 */
export const ruleAt = (setup: Setup, host: string, path: string): Rule | undefined => {
  const hostRules = ruleIndexOf(setup).byHost.get(host.toLowerCase());
  if (hostRules === undefined) return undefined;
  for (const length of hostRules.pathLengths) {
    const rule = length > path.length ? undefined : hostRules.byPath.get(path.slice(0, length));
    if (rule !== undefined) return rule;
  }
  return undefined;
};
