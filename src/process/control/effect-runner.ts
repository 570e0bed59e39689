import type { ControlEffect } from '../../control/machine/control-effect.js';
import type { CoreReply } from '../../control/machine/core-reply.js';
import { membersOf } from '../../control/machine/log-queries.js';
import type { ControlMessage } from '../../control/machine/message.js';
import type { Replica } from '../../control/machine/replica.js';
import type { Counters } from '../counters.js';
import type { Log } from '../log.js';
import type { GossipTask } from '../gossip-task.js';

/** Carries out the effects of the control state machine and resolves the addresses of their receivers. */
export type EffectRunner = {
  readonly run: (effect: ControlEffect) => void;
  /** Records the address from which a control node has sent a message. */
  readonly recordNodeAddress: (identity: string, address: string) => void;
  /** Records the address that a request came from, until its reply is sent. */
  readonly recordRequester: (requestId: string, address: string) => void;
  /** The addresses of all control nodes that have sent a message. */
  readonly knownAddresses: () => readonly string[];
};

/** Beyond this, the oldest request without a reply is dropped. */
const maxRequesters = 10_000;

export const openEffectRunner = (
  replica: () => Replica,
  spread: GossipTask,
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

  const sendToNode = (identity: string, message: ControlMessage): void => {
    const address = addressOf(identity);
    if (address !== undefined) send(address, message, identity);
  };

  const reply = (requestId: string, unaddressed: CoreReply): void => {
    const address = requesterAddresses.get(requestId);
    requesterAddresses.delete(requestId);
    if (address === undefined) return;
    const addressed =
      unaddressed.type === 'not-leader' && unaddressed.leader !== undefined
        ? { ...unaddressed, leader: addressOf(unaddressed.leader) }
        : unaddressed;
    spread.send(address, { type: 'reply', requestId, reply: addressed });
  };

  return {
    run: (effect) => {
      switch (effect.type) {
        case 'persist':
          return;
        case 'send':
          return sendToNode(effect.to, effect.message);
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
    recordNodeAddress: (identity, address) => void knownAddresses.set(identity, address),
    recordRequester: (requestId, address) => {
      requesterAddresses.set(requestId, address);
      if (requesterAddresses.size > maxRequesters)
        requesterAddresses.delete(requesterAddresses.keys().next().value ?? requestId);
    },
    knownAddresses: () => [...knownAddresses.values()],
  };
};
