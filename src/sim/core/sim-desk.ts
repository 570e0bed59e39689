import { oneOf } from '../../common/chance.js';
import { typedError } from '../../common/typed-error.js';
import type { OperatorDesk } from '../../process/operator/operator-desk.js';
import type { OperatorWord } from '../../process/operator/operator-word.js';
import type { CoreFleet } from './core-fleet.js';

const patienceUs = 8_000_000;

/** An operator's way to any core machine; where the machine falls silent, nothing is known. */
export const simDesk = ({ world, network, machines }: CoreFleet): OperatorDesk => {
  const told = (proposal: string, use: (desk: OperatorDesk) => Promise<OperatorWord>): Promise<OperatorWord> =>
    new Promise((resolve) => {
      const machine = oneOf(world.chance, machines);
      if (machine === undefined) return;
      const address = machine.address();
      const back = (word: OperatorWord): void => network.send(address, 'operator', () => resolve(word));
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
