import { Either } from 'purify-ts';
import { messageOf, typedError, type TypedError } from '../../common/typed-error.js';
import type { ControlEvent } from '../../control/machine/control-event.js';
import { stepOf, type ControlStep } from '../../control/machine/control-step.js';
import type { Replica } from '../../control/machine/replica.js';
import { stepControl } from '../../control/machine/step.js';

/** Steps a replica through events that came together; a broken invariant of the log is a typed failure of all of them. */
export const stepBatch = (start: Replica, events: readonly ControlEvent[]): Either<TypedError, ControlStep> =>
  Either.encase(() =>
    events.reduce<ControlStep>((reached, event) => {
      const step = stepControl(reached.replica, event);
      return { replica: step.replica, effects: [...reached.effects, ...step.effects] };
    }, stepOf(start)),
  ).mapLeft((thrown) => typedError('broken-invariant', messageOf(thrown)));
