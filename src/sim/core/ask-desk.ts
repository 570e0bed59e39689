import { oneOf } from '../../common/chance.js';
import { typedError } from '../../common/typed-error.js';
import type { OperatorDesk } from '../../process/operator/operator-desk.js';
import type { OperatorWord } from '../../process/operator/operator-word.js';
import type { CoreFleet } from './core-fleet.js';

const patienceUs = 8_000_000;

/** Asks any core machine as an operator does; hears nothing where the machine falls silent. */
export const askDesk = (
  { world, network, machines }: CoreFleet,
  use: (desk: OperatorDesk) => Promise<OperatorWord>,
  hear: (word: OperatorWord | undefined) => void,
): void => {
  const machine = oneOf(world.chance, machines);
  if (machine === undefined) return;
  let isOver = false;
  const finish = (word: OperatorWord | undefined): void => {
    if (isOver) return;
    isOver = true;
    hear(word);
  };
  const address = machine.address();
  const back = (word: OperatorWord): void => network.send(address, 'operator', () => finish(word));
  network.send('operator', address, () => {
    const isThere = machine.hear(({ desk }) => {
      void use(desk).then(back);
    });
    if (!isThere) back({ type: 'refused', error: typedError('unreachable', 'nobody listens') });
  });
  world.after(patienceUs, () => finish(undefined));
};
