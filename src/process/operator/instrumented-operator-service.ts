import type { TypedError } from '../../common/typed-error.js';
import type { Counters } from '../counters.js';
import type { Log } from '../log.js';
import type { OperatorReply } from './operator-reply.js';
import type { OperatorService, OriginalPut } from './operator-service.js';

/** Only the first faults of a refused document are logged, to bound the length of the line. */
const maxLoggedFaults = 3;

const factsOf = ({ type, faults }: TypedError): Readonly<Record<string, unknown>> => ({
  error: type,
  ...(faults === undefined ? {} : { faults: faults.slice(0, maxLoggedFaults) }),
});

/** Wraps a service: each call is counted by its reply, and the result of each document put is logged, with the cause of a refusal. */
export const instrumentedOperatorService = (
  service: OperatorService,
  counters: Counters,
  log: Log,
): OperatorService => {
  const counted = (reply: OperatorReply): OperatorReply => {
    counters.count(
      reply.type === 'refused' || reply.type === 'unknown'
        ? `operator.${reply.type}.${reply.error.type}`
        : `operator.${reply.type}`,
    );
    return reply;
  };
  const loggedPut = async ({ setup, original, expectedVersion }: OriginalPut): Promise<OperatorReply> => {
    const reply = await service.putOriginal({ setup, original, expectedVersion });
    const document = { version: original.version, expectedVersion };
    if (reply.type === 'refused' || reply.type === 'unknown')
      log.change('document not taken', { ...document, reply: reply.type, ...factsOf(reply.error) });
    else if (reply.type === 'decided')
      log.change('document decided', { ...document, outcome: reply.outcome.type, revision: reply.outcome.revision });
    return reply;
  };
  return {
    read: async () => counted(await service.read()),
    put: async (value, proposal, expected) => counted(await service.put(value, proposal, expected)),
    putOriginal: async (put) => counted(await loggedPut(put)),
    ask: async (proposal) => counted(await service.ask(proposal)),
    withdraw: async (proposal) => counted(await service.withdraw(proposal)),
  };
};
