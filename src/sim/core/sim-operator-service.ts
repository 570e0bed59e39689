import { randomItem } from '../../common/random.js';
import type { Micros } from '../../common/micros.js';
import { typedError } from '../../common/typed-error.js';
import type { OperatorService } from '../../process/operator/operator-service.js';
import type { OperatorReply } from '../../process/operator/operator-reply.js';
import type { CoreFleet } from './core-fleet.js';
import type { SimControl } from './sim-control.js';

const defaultPatienceUs: Micros = 8_000_000;

/** How an operator reaches core machines in a virtual world. */
export type OperatorRoute = {
  /** Chooses the machine for each call. */
  readonly machine: () => SimControl | undefined;
  /** After so long without an answer the operator knows nothing. */
  readonly patienceUs?: Micros;
  /** Whether an answer is lost on its way back; drawn for each. */
  readonly isAnswerLost?: () => boolean;
};

/** An operator's way to core machines; where a machine falls silent, nothing is known. */
export const operatorServiceOn = (
  { world, network }: CoreFleet,
  { machine: machineOf, patienceUs = defaultPatienceUs, isAnswerLost = () => false }: OperatorRoute,
): OperatorService => {
  const told = (proposal: string, use: (desk: OperatorService) => Promise<OperatorReply>): Promise<OperatorReply> =>
    new Promise((resolve) => {
      const machine = machineOf();
      if (machine === undefined) return;
      const address = machine.address();
      const back = (word: OperatorReply): void => {
        if (!isAnswerLost()) network.send(address, 'operator', () => resolve(word));
      };
      network.send('operator', address, () => {
        const isThere = machine.hear(({ desk }) => {
          void use(desk).then(back);
        });
        if (!isThere) back({ type: 'refused', error: typedError('unreachable', 'nobody listens') });
      });
      world.after(patienceUs, () =>
        resolve({ type: 'unknown', proposal, error: typedError('undecided', 'nothing was heard') }),
      );
    });
  return {
    read: () => told('', (desk) => desk.read()),
    put: (value, proposal, expected) => told(proposal, (desk) => desk.put(value, proposal, expected)),
    putOriginal: (put) => told(`document ${put.original.version}`, (desk) => desk.putOriginal(put)),
    ask: (proposal) => told(proposal, (desk) => desk.ask(proposal)),
    withdraw: (proposal) => told(proposal, (desk) => desk.withdraw(proposal)),
  };
};

/** An operator's way to any core machine, drawn anew for each call. */
export const simOperatorService = (fleet: CoreFleet): OperatorService =>
  operatorServiceOn(fleet, { machine: () => randomItem(fleet.world.chance, fleet.machines) });
