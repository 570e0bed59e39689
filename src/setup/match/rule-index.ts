import type { Rule } from '../document/rule.js';
import type { Setup } from '../document/setup.js';

/** The rules of a setup by kind, and by host and path. */
export type RuleIndex = {
  readonly byKind: ReadonlyMap<string, Rule>;
  /** The rules of each host, longest path first. */
  readonly byHost: ReadonlyMap<string, readonly Rule[]>;
};

const knownIndexes = new WeakMap<Setup, RuleIndex>();

const indexOf = ({ rules }: Setup): RuleIndex => {
  const byHost = new Map<string, Rule[]>();
  for (const rule of rules) {
    if (rule.match === undefined) continue;
    const host = rule.match.host.toLowerCase();
    byHost.set(host, [...(byHost.get(host) ?? []), rule]);
  }
  for (const hostRules of byHost.values())
    hostRules.sort((left, right) => (right.match?.path.length ?? 0) - (left.match?.path.length ?? 0));
  return { byKind: new Map(rules.map((rule) => [rule.kind, rule])), byHost };
};

export const ruleIndexOf = (setup: Setup): RuleIndex => {
  const knownIndex = knownIndexes.get(setup);
  if (knownIndex !== undefined) return knownIndex;
  const index = indexOf(setup);
  knownIndexes.set(setup, index);
  return index;
};

/** The rule for a host and a path: of those of the host, the one with the longest path that the path begins with. */
export const ruleAt = (setup: Setup, host: string, path: string): Rule | undefined =>
  ruleIndexOf(setup)
    .byHost.get(host.toLowerCase())
    ?.find((rule) => rule.match !== undefined && path.startsWith(rule.match.path));
