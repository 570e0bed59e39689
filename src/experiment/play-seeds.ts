import type { DecisionPolicy } from '../decision/policy.js';
import type { Experiment } from './deployment.js';
import { playExperiment, type ExperimentResult } from './play-experiment.js';

/** The mean of a figure over several seeds, and how far the seeds lie apart. */
export type Spread = { readonly mean: number; readonly least: number; readonly most: number };

export const spreadOf = (figures: readonly number[]): Spread => ({
  mean: figures.reduce((sum, figure) => sum + figure, 0) / Math.max(1, figures.length),
  least: Math.min(...figures),
  most: Math.max(...figures),
});

/** Plays an experiment once for each seed, one after the other. */
export const playSeeds = async (
  experiment: Experiment,
  seeds: readonly number[],
  policy: DecisionPolicy,
): Promise<readonly ExperimentResult[]> => {
  const results: ExperimentResult[] = [];
  for (const seed of seeds) results.push(await playExperiment(experiment, seed, policy));
  return results;
};
