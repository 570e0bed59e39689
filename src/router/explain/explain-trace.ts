import type { ExchangeTrace } from './exchange-trace.js';
import { explainStep } from './explain-step.js';

/** A trace as lines for people; times are relative to the first step. */
export const explainTrace = (trace: ExchangeTrace): readonly string[] => {
  const firstAt = trace.steps[0]?.at ?? 0;
  return [
    `exchange ${trace.exchange}`,
    `  kind ${trace.kind}, tier ${trace.tier}, service ${trace.service}`,
    `  under setup ${trace.setupRevision} and list ${trace.listVersion}`,
    ...trace.steps.map((step) => `  +${step.at - firstAt} us  ${explainStep(step)}`),
  ];
};
