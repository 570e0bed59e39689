import type { Micros } from '../../common/micros.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import type { History } from './history.js';

/** Writes down which servers a list shows as leaving for the first time. */
export const noteLeaves = (history: History, servers: readonly ListedServer[], shownUs: Micros): void => {
  for (const server of servers) {
    const isKnown = history.leaves.some(
      (leave) => leave.server === server.id && leave.incarnation === server.incarnation,
    );
    if (server.state === 'leaving' && !isKnown)
      history.leaves.push({ server: server.id, incarnation: server.incarnation, shownUs });
  }
};
