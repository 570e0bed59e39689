import type { Rule } from '../document/rule.js';
import type { Setup } from '../document/setup.js';

/** The rules of one host by path, and the distinct lengths of their paths in descending order. */
type HostRules = {
  readonly byPath: ReadonlyMap<string, Rule>;
  readonly pathLengths: readonly number[];
};

/** The rules of a setup by kind, and by host and path. */
export type RuleIndex = {
  readonly byKind: ReadonlyMap<string, Rule>;
  readonly byHost: ReadonlyMap<string, HostRules>;
};

const indexCache = new WeakMap<Setup, RuleIndex>();

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

/** The index of the rules of a setup; built once for each setup. */
export const ruleIndexOf = (setup: Setup): RuleIndex => {
  const cachedIndex = indexCache.get(setup);
  if (cachedIndex !== undefined) return cachedIndex;
  const index = indexOf(setup);
  indexCache.set(setup, index);
  return index;
};

/**
 * The rule for a host and a path by longest-prefix match among the rules of the host; undefined if none matches. Costs
 * one look-up for each distinct path length of the host, independent of the number of rules.
 */
export const matchRule = (setup: Setup, host: string, path: string): Rule | undefined => {
  const hostRules = ruleIndexOf(setup).byHost.get(host.toLowerCase());
  if (hostRules === undefined) return undefined;
  for (const length of hostRules.pathLengths) {
    const rule = length > path.length ? undefined : hostRules.byPath.get(path.slice(0, length));
    if (rule !== undefined) return rule;
  }
  return undefined;
};
