import type { Decision } from '../../src/decision/machine/effect/decision.js';
import type { DecisionEvent } from '../../src/decision/machine/event/decision-event.js';
import { initialDecisionView, type DecisionView } from '../../src/decision/machine/view/decision-view.js';
import { defaultPolicy, type DecisionPolicy } from '../../src/decision/policy.js';
import { openTraceReader, type TimedDecision } from '../../src/decision/trace/trace-reader.js';

/**
 * Replays events through the text form of a trace, as `ledgehill decide` does. Precedes each event by one of the platform
 * time, as a router does: here both clocks run at the same rate, while the machine by itself allows for a fast clock.
 */
export type Player = {
  readonly play: (...events: readonly DecisionEvent[]) => readonly TimedDecision[];
  readonly all: () => readonly TimedDecision[];
  readonly view: () => DecisionView;
};

export const openPlayer = (policy: DecisionPolicy = defaultPolicy): Player => {
  const reader = openTraceReader({ ...initialDecisionView, policy });
  const allDecisions: TimedDecision[] = [];
  let offsetUs: number | undefined;
  const withTime = (event: DecisionEvent): readonly DecisionEvent[] => {
    const platformUs = event.type === 'list' ? event.list.atUs : event.type === 'time' ? event.platformUs : undefined;
    if (platformUs !== undefined) offsetUs = Math.max(offsetUs ?? Number.NEGATIVE_INFINITY, platformUs - event.at);
    return offsetUs === undefined || event.type === 'node'
      ? [event]
      : [{ type: 'time', at: event.at, platformUs: event.at + offsetUs }, event];
  };
  return {
    play: (...events) => {
      const decisions = events.flatMap(withTime).flatMap((event) =>
        reader.read(JSON.stringify(event)).caseOf<readonly TimedDecision[]>({
          Left: (error) => {
            throw new Error(error.message);
          },
          Right: (decisions) => decisions,
        }),
      );
      allDecisions.push(...decisions);
      return decisions;
    },
    all: () => allDecisions,
    view: reader.view,
  };
};

/** A delivery decision with its time. */
export type Delivery = Extract<Decision, { readonly type: 'deliver' }> & { readonly at: number };

export const deliveriesIn = (decisions: readonly TimedDecision[]): readonly Delivery[] =>
  decisions.flatMap((decision) => (decision.type === 'deliver' ? [decision] : []));

export const decisionTypesOf = (decisions: readonly TimedDecision[]): readonly string[] =>
  decisions.map((decision) => decision.type);
