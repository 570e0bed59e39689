import type { Deployment } from '../deployment/deployment.js';
import type { History } from '../history/history.js';
import { checkAnswers, checkFewRefusals, checkNoCuts, checkRecovery } from './check-answers.js';
import { checkExtraTries, checkLeaving, checkRefusals, checkRunOnce, checkServices } from './check-runs.js';
import { checkInForce, checkNeverBackwards, checkOutcomes } from './check-setups.js';
import type { Finding } from './finding.js';

/** Under which terms a history is judged. */
export type CheckTerms = {
  readonly plannedOnly: boolean;
  readonly mostRefusedShare: number;
  readonly troubleEndUs: number;
};

/** The rules that hold whatever happens. */
export const checkAlways = (history: History, onceKinds: ReadonlySet<string>): readonly Finding[] => [
  ...checkRunOnce(history, onceKinds),
  ...checkRefusals(history),
  ...checkServices(history),
  ...checkLeaving(history),
  ...checkExtraTries(history),
  ...checkAnswers(history),
  ...checkInForce(history),
  ...checkNeverBackwards(history),
  ...checkOutcomes(history),
];

/** Lays the histories side by side and lists every broken rule. */
export const checkHistory = (history: History, deployment: Deployment, terms: CheckTerms): readonly Finding[] => [
  ...checkAlways(history, new Set(deployment.kinds.filter((kind) => kind.runsOnce).map((kind) => kind.kind))),
  ...checkFewRefusals(history, terms.mostRefusedShare),
  ...checkRecovery(history, terms.troubleEndUs),
  ...(terms.plannedOnly ? checkNoCuts(history) : []),
];
