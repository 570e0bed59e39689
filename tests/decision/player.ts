import type { Decision } from '../../src/decision/machine/effect/decision.js';
import type { DecisionEvent } from '../../src/decision/machine/event/decision-event.js';
import type { DecisionView } from '../../src/decision/machine/view/decision-view.js';
import { openTraceReader, type TimedDecision } from '../../src/decision/trace/trace-reader.js';

/** Plays events through the text form of a trace, as `ledgehill decide` does. */
export type Player = {
  readonly play: (...events: readonly DecisionEvent[]) => readonly TimedDecision[];
  readonly all: () => readonly TimedDecision[];
  readonly view: () => DecisionView;
};

export const openPlayer = (): Player => {
  const reader = openTraceReader();
  const allDecisions: TimedDecision[] = [];
  return {
    play: (...events) => {
      const played = events.flatMap((event) =>
        reader.read(JSON.stringify(event)).caseOf<readonly TimedDecision[]>({
          Left: (error) => {
            throw new Error(error.message);
          },
          Right: (decisions) => decisions,
        }),
      );
      allDecisions.push(...played);
      return played;
    },
    all: () => allDecisions,
    view: reader.view,
  };
};

export type Deliver = Extract<Decision, { readonly type: 'deliver' }> & { readonly at: number };

export const deliversOf = (decisions: readonly TimedDecision[]): readonly Deliver[] =>
  decisions.flatMap((decision) => (decision.type === 'deliver' ? [decision] : []));

export const typesOf = (decisions: readonly TimedDecision[]): readonly string[] => decisions.map((decision) => decision.type);
