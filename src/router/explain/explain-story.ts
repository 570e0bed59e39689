import type { ExchangeStory } from './exchange-story.js';
import { explainStep } from './explain-step.js';

/** Why an exchange went where it went, in lines for people. */
export const explainStory = (story: ExchangeStory): readonly string[] => {
  const firstAt = story.steps[0]?.at ?? 0;
  return [
    `exchange ${story.exchange}`,
    `  kind ${story.kind}, tier ${story.tier}, service ${story.service}`,
    `  under setup ${story.setupRevision} and list ${story.listVersion}`,
    ...story.steps.map((step) => `  +${step.at - firstAt} us  ${explainStep(step)}`),
  ];
};
