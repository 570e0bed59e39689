import { oneOf } from '../../common/chance.js';
import { typedError } from '../../common/typed-error.js';
import type { OperatorService } from '../../process/operator/operator-service.js';
import type { OperatorReply } from '../../process/operator/operator-reply.js';
import type { CoreFleet } from './core-fleet.js';

const patienceUs = 8_000_000;

/** An operator's way to any core machine; where the machine falls silent, nothing is known. */
export const simOperatorService = ({ world, network, machines }: CoreFleet): OperatorService => {
  const told = (proposal: string, use: (desk: OperatorService) => Promise<OperatorReply>): Promise<OperatorReply> =>
    new Promise((resolve) => {
      const machine = oneOf(world.chance, machines);
      if (machine === undefined) return;
      const address = machine.address();
      const back = (word: OperatorReply): void => network.send(address, 'operator', () => resolve(word));
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
