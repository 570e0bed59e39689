import type { Micros } from '../../common/micros.js';
import type { Answer } from '../../control/machine/answer.js';
import type { Command } from '../../control/log/command.js';
import type { CoreFleet } from './core-fleet.js';
import type { CoreMachine } from './core-machine.js';

/** The last word of the core; none means that it stays unknown. */
export type LastWord = Exclude<Answer, { readonly type: 'not-leader' | 'undecided' }> | undefined;

const tryUs: Micros = 600_000;
const pauseUs: Micros = 40_000;

/** Asks like a client does: any machine first, then where the leader is said to be, until the budget is over. */
export const askCore = (
  fleet: Pick<CoreFleet, 'world' | 'machines' | 'network' | 'ask'>,
  question: { readonly type: 'propose'; readonly command: Command } | { readonly type: 'read' },
  budgetUs: Micros,
  hear: (word: LastWord) => void,
  from = 'client',
): void => {
  const { world, machines } = fleet;
  const dueUs = world.now() + budgetUs;
  let isOver = false;
  const finish = (word: LastWord): void => {
    if (isOver) return;
    isOver = true;
    hear(word);
  };
  const tryOnce = (machine: CoreMachine | undefined): void => {
    if (isOver) return;
    if (world.now() >= dueUs || machine === undefined) {
      finish(undefined);
      return;
    }
    let isAnswered = false;
    const goOn = (answer: Answer | undefined): void => {
      if (answer?.type === 'applied' || answer?.type === 'record') finish(answer);
      if (isAnswered || isOver) return;
      isAnswered = true;
      const leader = answer?.type === 'not-leader' ? machines.find((known) => known.view().identity === answer.leader) : undefined;
      world.after(pauseUs, () => tryOnce(leader ?? machines[Math.floor(world.chance() * machines.length)]));
    };
    fleet.network.send(from, machine.address(), () =>
      fleet.ask(
        machine,
        (ask) =>
          question.type === 'read'
            ? { type: 'read', at: world.now(), ask }
            : { type: 'propose', at: world.now(), ask, command: question.command },
        (answer) => fleet.network.send(machine.address(), from, () => goOn(answer)),
      ),
    );
    world.after(tryUs, () => goOn(undefined));
  };
  tryOnce(machines[Math.floor(world.chance() * machines.length)]);
};
