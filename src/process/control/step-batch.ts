import { Either } from 'purify-ts';
import { messageOf, typedError, type TypedError } from '../../common/typed-error.js';
import type { ControlEvent } from '../../control/machine/control-event.js';
import { stepOf, type ControlStep } from '../../control/machine/control-step.js';
import type { Replica } from '../../control/machine/replica.js';
import { stepControl } from '../../control/machine/step.js';

/** Applies a batch of events to a replica. If one breaks an invariant of the log, the whole batch fails. */
export const stepBatch = (replica: Replica, events: readonly ControlEvent[]): Either<TypedError, ControlStep> =>
  Either.encase(() =>
    events.reduce<ControlStep>((last, event) => {
      const step = stepControl(last.replica, event);
      return { replica: step.replica, effects: [...last.effects, ...step.effects] };
    }, stepOf(replica)),
  ).mapLeft((thrown) => typedError('broken-invariant', messageOf(thrown)));
