import type { CoreFleet } from './core-fleet.js';

/** What a run of the core must never show, gathered as it goes. */
export type CoreRules = {
  readonly broken: () => readonly string[];
  readonly breakRule: (what: string) => void;
  /** The name of the setup that stands at a revision. */
  readonly nameAt: (revision: number) => string | undefined;
};

/** Listens to every machine: one leader a term, one setup a revision, no revision back on one machine's life. */
export const watchCore = (fleet: CoreFleet): CoreRules => {
  const brokenRules: string[] = [];
  const leaderOfTerm = new Map<number, string>();
  const nameOfRevision = new Map<number, string>();
  const breakRule = (what: string): void => void brokenRules.push(`at ${fleet.world.now()} us: ${what}`);
  fleet.onEffect((machine, effect) => {
    if (effect.type === 'role' && effect.role === 'leader') {
      const known = leaderOfTerm.get(effect.term);
      const identity = machine.view().identity;
      if (known !== undefined && known !== identity) breakRule(`term ${effect.term} had two leaders, ${known} and ${identity}`);
      leaderOfTerm.set(effect.term, identity);
    }
    if (effect.type === 'taken') {
      const { revision, setup } = effect.record;
      const known = nameOfRevision.get(revision);
      if (known !== undefined && known !== setup.name) breakRule(`revision ${revision} is ${known} and ${setup.name}`);
      nameOfRevision.set(revision, setup.name);
    }
  });
  fleet.onUnkept((what) => breakRule(`kept-before-said: ${what}`));
  return { broken: () => brokenRules, breakRule, nameAt: (revision) => nameOfRevision.get(revision) };
};
