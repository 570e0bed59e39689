import { controlMutants } from './control-mutants.js';
import { controlStateMutants } from './control-state-mutants.js';
import { decisionMutants } from './decision-mutants.js';
import { diskMutants } from './disk-mutants.js';
import { platformMutants } from './platform-mutants.js';
import { routerMutants } from './router-mutants.js';
import { spreadMutants } from './spread-mutants.js';
import type { Mutant } from './mutant.js';

/** Every deliberate fault that the checks must find. */
export const mutants: readonly Mutant[] = [
  ...controlMutants,
  ...controlStateMutants,
  ...decisionMutants,
  ...diskMutants,
  ...platformMutants,
  ...routerMutants,
  ...spreadMutants,
];
