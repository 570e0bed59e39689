import { raiseBound } from '../../../common/clock/time-bound.js';
import type { ListedServer } from '../../../servers/list/listed-server.js';
import type { ServerList } from '../../../servers/list/server-list.js';
import { serverKeyOf, type ServerKey } from '../../../servers/list/server-key.js';
import type { DecisionView } from '../view/decision-view.js';
import { withoutEffects, type DecisionStep } from './decision-step.js';
import { maxGraceUs } from '../../../setup/check/field-schemas.js';
import { updateTopology } from './update-topology.js';

/** Raises the lower bound of the platform time; the bound never decreases. */
export const withPlatformUs = (view: DecisionView, platformUs: number): DecisionView => ({
  ...view,
  platform: raiseBound(view.platform, platformUs, view.atUs),
});

type ServersByKey = ReadonlyMap<ServerKey, ListedServer>;

/** A server that loads new model weights has an empty prefix cache; its connections stay open. */
const withoutStaleCaches = (view: DecisionView, list: ServerList, previousServers: ServersByKey): DecisionView => ({
  ...view,
  cachedPrefixes: list.servers.reduce((caches, server) => {
    const previousServer = previousServers.get(serverKeyOf(server));
    return previousServer !== undefined && previousServer.weights !== server.weights
      ? caches.delete(serverKeyOf(server))
      : caches;
  }, view.cachedPrefixes),
});

/**
 * Keeps the first leaving time of each server, also if a later list gives a later one. In the first list of a node, the
 * grace of all leaving servers counts as over: the node can't tell since when they leave, and has nothing to hand over.
 */
const withFirstLeavingTimes = (view: DecisionView, list: ServerList, previousServers: ServersByKey): ServerList => ({
  ...list,
  servers: list.servers.map((server) => {
    if (view.list === undefined)
      return server.leavingAtUs === undefined ? server : { ...server, leavingAtUs: server.leavingAtUs - maxGraceUs };
    const previous = previousServers.get(serverKeyOf(server));
    return server.leavingAtUs === undefined || previous?.leavingAtUs === undefined
      ? server
      : { ...server, leavingAtUs: Math.min(previous.leavingAtUs, server.leavingAtUs) };
  }),
});

/** Takes a newer server list; an older or equal version is ignored. */
export const onList = (view: DecisionView, received: ServerList): DecisionStep => {
  if (view.list !== undefined && received.version <= view.list.version) return withoutEffects(view);
  const previousServers: ServersByKey = new Map(
    (view.list?.servers ?? []).map((server) => [serverKeyOf(server), server]),
  );
  const list = withFirstLeavingTimes(view, received, previousServers);
  return updateTopology({ ...withPlatformUs(withoutStaleCaches(view, list, previousServers), list.atUs), list });
};
