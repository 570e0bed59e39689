import { Either, Left, Right } from 'purify-ts';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { Decision } from '../machine/effect/decision.js';
import type { DecisionEvent } from '../machine/event/decision-event.js';
import { stepDecision } from '../machine/step/step.js';
import { startDecisionView, type DecisionView } from '../machine/view/decision-view.js';
import { parseEvent } from './parse-event.js';

/** A decision with the moment at which it was made. */
export type TimedDecision = { readonly at: number } & Decision;

/** Plays the lines of a trace against the machine, one after another. */
export type TraceReader = {
  readonly read: (text: string) => Either<TypedError, readonly TimedDecision[]>;
  readonly view: () => DecisionView;
};

type Misplaced = { readonly field: string; readonly message: string };

export const openTraceReader = (start: DecisionView = startDecisionView): TraceReader => {
  let currentView = start;
  let lineNumber = 0;
  const attempts = new Map<string, number>();

  const misplacedOf = (event: DecisionEvent): Misplaced | undefined => {
    if (event.at < currentView.atUs) return { field: 'at', message: `${event.at} is before ${currentView.atUs}` };
    switch (event.type) {
      case 'setup':
        return currentView.record !== undefined && event.record.revision <= currentView.record.revision
          ? {
              field: 'record.revision',
              message: `${event.record.revision} is not after ${currentView.record.revision}`,
            }
          : undefined;
      case 'list':
        return currentView.list !== undefined && event.list.version <= currentView.list.version
          ? { field: 'list.version', message: `${event.list.version} is not after ${currentView.list.version}` }
          : undefined;
      case 'exchange':
        return attempts.has(event.exchange)
          ? { field: 'exchange', message: `${event.exchange} has come before` }
          : undefined;
      case 'sent':
      case 'firstPiece':
      case 'done':
      case 'failed': {
        const madeAttempts = attempts.get(event.exchange);
        if (madeAttempts === undefined) return { field: 'exchange', message: `${event.exchange} has not come yet` };
        return event.attempt > madeAttempts
          ? { field: 'attempt', message: `attempt ${event.attempt} of ${event.exchange} has not been made yet` }
          : undefined;
      }
      case 'abandoned':
        return attempts.has(event.exchange)
          ? undefined
          : { field: 'exchange', message: `${event.exchange} has not come yet` };
      case 'node':
      case 'fleet':
      case 'gap':
      case 'time':
      case 'work':
      case 'failure':
      case 'load':
      case 'dark':
      case 'light':
      case 'tick':
      case 'drain':
        return undefined;
    }
  };

  const play = (event: DecisionEvent): Either<TypedError, readonly TimedDecision[]> => {
    const misplaced = misplacedOf(event);
    if (misplaced !== undefined)
      return Left(
        typedError('out-of-order', `line ${lineNumber}: ${misplaced.field}: ${misplaced.message}`, [
          { path: misplaced.field, message: misplaced.message },
        ]),
      );
    if (event.type === 'exchange') attempts.set(event.exchange, 0);
    const step = stepDecision(currentView, event);
    currentView = step.view;
    for (const decision of step.effects)
      if (decision.type === 'deliver') attempts.set(decision.exchange, decision.attempt);
    return Right(step.effects.map((decision) => ({ at: event.at, ...decision })));
  };

  return {
    read: (text) => {
      lineNumber += 1;
      if (text.trim() === '') return Right([]);
      return parseEvent(text, lineNumber).chain(play);
    },
    view: () => currentView,
  };
};
