import { Right } from 'purify-ts';
import type { Log } from '../../process/log.js';
import { openRouterNode, type RouterNode } from '../../process/router/router-node.js';
import type { ClientLink } from '../../router/delivery/client-link.js';
import { openSimNode, type SimNode } from '../process/sim-node.js';
import { simSurroundingsOf, type SimCommons } from '../process/sim-surroundings.js';

/** A router in the virtual world: the tasks that ship, on a virtual clock and virtual links. */
export type SimRouter = {
  readonly name: string;
  readonly locality: string;
  readonly address: string;
  readonly node: SimNode;
  /** Its tasks; none while it is down. */
  readonly tasks: () => RouterNode | undefined;
  readonly isReady: () => boolean;
  /** Hands a call over; its caller hears that the node is gone if it dies on the way. */
  readonly accept: (body: unknown, key: string | undefined, caller: SimCaller) => void;
  readonly start: () => void;
  readonly kill: () => void;
  /** Ends in order, then calls back. */
  readonly terminate: (ended: () => void) => void;
};

/** A caller's end of its link, which also hears when the node is gone. */
export type SimCaller = ClientLink & { readonly isEnded: () => boolean; readonly lose: () => void };

export type SimRouterPlan = {
  readonly name: string;
  readonly locality: string;
  readonly address: string;
  readonly seeds: () => readonly string[];
  readonly commons: SimCommons;
  readonly log: Log;
};

export const openSimRouter = ({ name, locality, address, seeds, commons, log }: SimRouterPlan): SimRouter => {
  const node = openSimNode(commons.world, (type, what) => commons.note(type, name, what));
  let tasks: RouterNode | undefined;
  let openCallers = new Set<SimCaller>();

  const kill = (): void => {
    const lostCallers = openCallers;
    openCallers = new Set();
    tasks = undefined;
    node.kill();
    for (const caller of lostCallers) caller.lose();
  };

  return {
    name,
    locality,
    address,
    node,
    tasks: () => tasks,
    isReady: () => tasks !== undefined && tasks.unreadyReason() === undefined,
    accept: (body, key, caller) => {
      const present = tasks;
      if (present === undefined) {
        caller.lose();
        return;
      }
      for (const known of openCallers) if (known.isEnded()) openCallers.delete(known);
      openCallers.add(caller);
      node.hear(() => void present.admit(Right(body), key, caller));
    },
    start: () => {
      if (node.isUp()) return;
      const life = node.begin();
      tasks = openRouterNode({
        settings: { node: name, locality, http: `${address}/http`, partners: address, seeds: seeds() },
        log,
        surroundings: simSurroundingsOf(commons, name, address, life),
      });
      void tasks.start();
    },
    kill,
    terminate: (ended) => {
      const leaving = tasks;
      if (leaving === undefined) return;
      node.hear(() => {
        void leaving.stop().then(() => {
          if (tasks === leaving) kill();
          ended();
        });
      });
    },
  };
};
