import { claimsScenario } from './core/claims-scenario.js';
import { coreScenario } from './core/core-scenario.js';
import { cutsScenario } from './core/cuts-scenario.js';
import { failoverScenario } from './core/failover-scenario.js';
import { historiesScenario } from './core/histories-scenario.js';
import { repeatsScenario } from './core/repeats-scenario.js';
import { replacementsScenario } from './core/replacements-scenario.js';
import { fleetScenarios } from './fleet/fleet-scenario.js';
import type { SimScenario } from './sim-run.js';

/** Every scenario that is played in virtual time. */
export const simScenarios: readonly SimScenario[] = [
  coreScenario,
  cutsScenario,
  replacementsScenario,
  historiesScenario,
  repeatsScenario,
  claimsScenario,
  failoverScenario,
  ...fleetScenarios,
];
