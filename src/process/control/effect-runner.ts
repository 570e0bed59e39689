import type { ControlEffect } from '../../control/machine/control-effect.js';
import type { CoreReply } from '../../control/machine/core-reply.js';
import { membersOf } from '../../control/machine/log-queries.js';
import type { ControlMessage } from '../../control/machine/message.js';
import type { Replica } from '../../control/machine/replica.js';
import type { Counters } from '../counters.js';
import type { Log } from '../log.js';
import type { SpreadTask } from '../spread-task.js';

/** Runs the effects of the control machine, and knows the addresses that they need. */
export type EffectRunner = {
  readonly run: (effect: ControlEffect) => void;
  /** Notes the address from which a machine was heard. */
  readonly noteMachine: (identity: string, address: string) => void;
  /** Notes who asked, until the reply. */
  readonly noteRequester: (requestId: string, address: string) => void;
  readonly knownAddresses: () => readonly string[];
};

const maxRequesters = 10_000;

export const openEffectRunner = (
  replica: () => Replica,
  spread: SpreadTask,
  log: Log,
  counters: Counters,
): EffectRunner => {
  const knownAddresses = new Map<string, string>();
  const requesterAddresses = new Map<string, string>();

  const addressOf = (identity: string): string | undefined =>
    membersOf(replica()).find((member) => member.identity === identity)?.address ?? knownAddresses.get(identity);

  const send = (address: string, message: ControlMessage, to?: string): void =>
    spread.send(address, {
      type: 'control',
      identity: replica().identity,
      ...(to === undefined ? {} : { to }),
      message,
    });

  const sendToMachine = (identity: string, message: ControlMessage): void => {
    const address = addressOf(identity);
    if (address !== undefined) send(address, message, identity);
  };

  const reply = (requestId: string, told: CoreReply): void => {
    const address = requesterAddresses.get(requestId);
    requesterAddresses.delete(requestId);
    if (address === undefined) return;
    const addressed =
      told.type === 'not-leader' && told.leader !== undefined ? { ...told, leader: addressOf(told.leader) } : told;
    spread.send(address, { type: 'reply', requestId, reply: addressed });
  };

  return {
    run: (effect) => {
      switch (effect.type) {
        case 'persist':
          return;
        case 'send':
          return sendToMachine(effect.to, effect.message);
        case 'sendTo':
          return send(effect.address, effect.message);
        case 'reply':
          return reply(effect.requestId, effect.reply);
        case 'taken':
          counters.count('setups.taken');
          spread.offerSetup(effect.record);
          return;
        case 'role':
          log.change('role', { role: effect.role, term: effect.term, leader: effect.leader });
          return;
        case 'members':
          log.change('members', { members: effect.members });
          return;
      }
    },
    noteMachine: (identity, address) => void knownAddresses.set(identity, address),
    noteRequester: (requestId, address) => {
      requesterAddresses.set(requestId, address);
      if (requesterAddresses.size > maxRequesters)
        requesterAddresses.delete(requesterAddresses.keys().next().value ?? requestId);
    },
    knownAddresses: () => [...knownAddresses.values()],
  };
};
