import type { History } from '../history/history.js';
import { checkReceipts, checkNoCuts, checkReadyAgain, checkRecovery, checkResumes } from './check-receipts.js';
import { checkFewRefusals } from './check-refusals.js';
import { checkExtraTries, checkLeaving, checkRefusals, checkRunOnce, checkServices } from './check-runs.js';
import {
  checkFaultyPuts,
  checkInForce,
  checkNeverBackwards,
  checkOneWinner,
  checkOnlyTaken,
  checkTakenStays,
} from './check-setups.js';
import type { CheckTerms } from './check-terms.js';
import type { Finding } from './finding.js';

/** Lays the histories side by side and lists every broken rule. */
export const checkHistory = (history: History, terms: CheckTerms): readonly Finding[] => [
  ...checkRunOnce(history, terms.onceKinds),
  ...checkRefusals(history),
  ...checkServices(history),
  ...checkLeaving(history),
  ...checkExtraTries(history),
  ...checkReceipts(history),
  ...checkResumes(history, terms.resumableKinds),
  ...checkInForce(history),
  ...checkNeverBackwards(history),
  ...checkOneWinner(history),
  ...checkFaultyPuts(history),
  ...checkOnlyTaken(history),
  ...checkTakenStays(history),
  ...checkFewRefusals(history, terms.serviceOf),
  ...checkRecovery(history, terms.troubleEndUs),
  ...checkReadyAgain(history, terms.troubleEndUs, terms.plannedOnly),
  ...(terms.plannedOnly ? checkNoCuts(history) : []),
];
