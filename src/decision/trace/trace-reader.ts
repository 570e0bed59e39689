import { Either, Left, Right } from 'purify-ts';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { Decision } from '../machine/effect/decision.js';
import type { DecisionEvent } from '../machine/event/decision-event.js';
import { stepDecision } from '../machine/step/step.js';
import { initialDecisionView, type DecisionView } from '../machine/view/decision-view.js';
import { parseEvent } from './parse-event.js';

/** A decision and the time of the event that caused it. */
export type TimedDecision = { readonly at: number } & Decision;

/** Replays a trace of events, one JSON object per line, against a decision machine. */
export type TraceReader = {
  /** Plays the next line. A malformed or misplaced event is an error and leaves the machine as it was. */
  readonly read: (text: string) => Either<TypedError, readonly TimedDecision[]>;
  readonly view: () => DecisionView;
};

/** Why an event cannot follow the events before it. */
type OrderFault = { readonly field: string; readonly message: string };

/** Opens a reader on a machine in the view `start`. */
export const openTraceReader = (start: DecisionView = initialDecisionView): TraceReader => {
  let latestView = start;
  let lineNumber = 0;
  /** The number of the latest attempt by exchange, ended exchanges included. */
  const attempts = new Map<string, number>();

  const orderFaultOf = (event: DecisionEvent): OrderFault | undefined => {
    if (event.at < latestView.atUs)
      return { field: 'at', message: `time ${event.at} is before ${latestView.atUs}, the time of an earlier line` };
    switch (event.type) {
      case 'setup':
        return latestView.record !== undefined && event.record.revision <= latestView.record.revision
          ? {
              field: 'record.revision',
              message: `revision ${event.record.revision} is not greater than the current revision ${latestView.record.revision}`,
            }
          : undefined;
      case 'list':
        return latestView.list !== undefined && event.list.version <= latestView.list.version
          ? {
              field: 'list.version',
              message: `version ${event.list.version} is not greater than the current version ${latestView.list.version}`,
            }
          : undefined;
      case 'exchange':
        return attempts.has(event.exchange)
          ? { field: 'exchange', message: `exchange ${event.exchange} already began in an earlier line` }
          : undefined;
      case 'sent':
      case 'firstPiece':
      case 'done':
      case 'failed': {
        const latestAttempt = attempts.get(event.exchange);
        if (latestAttempt === undefined)
          return { field: 'exchange', message: `exchange ${event.exchange} has not begun in an earlier line` };
        return event.attempt > latestAttempt
          ? {
              field: 'attempt',
              message: `attempt ${event.attempt} of exchange ${event.exchange} has not been decided yet`,
            }
          : undefined;
      }
      case 'abandoned':
        return attempts.has(event.exchange)
          ? undefined
          : { field: 'exchange', message: `exchange ${event.exchange} has not begun in an earlier line` };
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
      case 'shutdown':
        return undefined;
    }
  };

  const play = (event: DecisionEvent): Either<TypedError, readonly TimedDecision[]> => {
    const orderFault = orderFaultOf(event);
    if (orderFault !== undefined)
      return Left(
        typedError('out-of-order', `line ${lineNumber}: ${orderFault.field}: ${orderFault.message}`, [
          { path: orderFault.field, message: orderFault.message },
        ]),
      );
    if (event.type === 'exchange') attempts.set(event.exchange, 0);
    const step = stepDecision(latestView, event);
    latestView = step.view;
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
    view: () => latestView,
  };
};
