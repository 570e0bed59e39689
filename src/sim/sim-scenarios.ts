import { claimsScenario } from './core/claims-scenario.js';
import { failoverScenario } from './core/failover-scenario.js';
import { coreScenario } from './core/core-scenario.js';
import { fleetScenarios } from './fleet/fleet-scenario.js';
import type { SimScenario } from './sim-run.js';

/** Every scenario that is played in virtual time. */
export const simScenarios: readonly SimScenario[] = [coreScenario, claimsScenario, failoverScenario, ...fleetScenarios];
