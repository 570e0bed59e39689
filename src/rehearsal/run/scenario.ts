import type { RandomSource } from '../../common/random.js';
import type { Setup } from '../../setup/document/setup.js';
import type { Deployment } from '../deployment/deployment.js';
import type { RehearsalParts } from './rehearsal-parts.js';

/** Something done to the system at a share of the running time. */
export type ScenarioStep = {
  readonly atShare: number;
  readonly name: string;
  readonly act: (parts: RehearsalParts) => Promise<void>;
};

/** A play: how large, how long, under which figures, and what happens. */
export type Scenario = {
  readonly name: string;
  readonly about: string;
  readonly seconds: number;
  /** Whether nothing but planned changes goes on, so that nothing may be cut off. */
  readonly plannedOnly: boolean;
  /** The share of the running time after which all trouble is over; 12 s later service must be back. */
  readonly troubleEndsShare: number;
  readonly size: (deployment: Deployment) => Deployment;
  readonly setup: (setup: Setup) => Setup;
  readonly acts: readonly ScenarioStep[];
  /** Acts that are drawn anew for each seed, beside the others. */
  readonly draw?: (chance: RandomSource) => readonly ScenarioStep[];
};
