import { Either, Left } from 'purify-ts';
import { object, string } from 'yup';
import { validate } from '../../common/validate.js';
import type { Fault } from '../../common/fault.js';
import { parseJson } from '../../common/json.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { DecisionEvent } from '../machine/event/decision-event.js';
import { eventSchemas } from './event-schemas.js';

const typeSchema = object({ type: string().required() }).required();

const isEventType = (type: string): type is DecisionEvent['type'] => Object.hasOwn(eventSchemas, type);

const badEvent = (line: number, faults: readonly Fault[]): TypedError =>
  typedError(
    'bad-event',
    `line ${line}: ${faults.map((fault) => `${fault.path || 'event'}: ${fault.message}`).join('; ')}`,
    faults,
  );

/** Parses one line of a trace; an error names the line and the fields. */
export const parseEvent = (text: string, line: number): Either<TypedError, DecisionEvent> =>
  parseJson(text, 'bad-event')
    .mapLeft((error) => badEvent(line, [{ path: '', message: error.message }]))
    .chain((value) =>
      validate(typeSchema, value)
        .mapLeft((faults) => badEvent(line, faults))
        .chain(({ type }): Either<TypedError, DecisionEvent> =>
          isEventType(type)
            ? validate(eventSchemas[type], value).mapLeft((faults) => badEvent(line, faults))
            : Left(badEvent(line, [{ path: 'type', message: `unknown event type ${type}` }])),
        ),
    );
