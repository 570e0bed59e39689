import type { Micros } from '../../common/micros.js';
import type { Setup } from '../../setup/document/setup.js';
import type { CheckTerms } from './check-terms.js';

/** The terms that follow from the rules of a setup. */
export const termsOf = ({ rules }: Setup, plannedOnly: boolean, troubleEndUs: Micros): CheckTerms => ({
  plannedOnly,
  troubleEndUs,
  onceKinds: new Set(rules.filter((rule) => !rule.repeatable).map((rule) => rule.kind)),
  resumableKinds: new Set(rules.filter((rule) => rule.resumable).map((rule) => rule.kind)),
  serviceOf: (kind) => rules.find((rule) => rule.kind === kind)?.service ?? 'none',
});
