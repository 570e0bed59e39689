import { raisedBound } from '../../../common/clock/time-bound.js';
import type { ListedServer } from '../../../servers/list/listed-server.js';
import type { ServerList } from '../../../servers/list/server-list.js';
import { serverKeyOf, type ServerKey } from '../../../servers/list/server-key.js';
import type { DecisionView } from '../view/decision-view.js';
import { still, type DecisionStep } from './decision-step.js';
import { mostGraceUs } from '../../../setup/check/figures.js';
import { restage } from './restage.js';

/** Merges a certain lower bound of the platform's time; it never goes back. */
export const withPlatformUs = (view: DecisionView, platformUs: number): DecisionView => ({
  ...view,
  platform: raisedBound(view.platform, platformUs, view.atUs),
});

type FormerServers = ReadonlyMap<ServerKey, ListedServer>;

/** New weights mean that a server remembers nothing, though its links stay good. */
const withoutOldWeights = (view: DecisionView, list: ServerList, formerServers: FormerServers): DecisionView => ({
  ...view,
  warmth: list.servers.reduce((warmth, server) => {
    const formerServer = formerServers.get(serverKeyOf(server));
    return formerServer !== undefined && formerServer.weights !== server.weights
      ? warmth.delete(serverKeyOf(server))
      : warmth;
  }, view.warmth),
});

/**
 * A server that is shown as leaving anew has been leaving since it was first shown so. For a node that has just begun
 * and does not know for how long, its grace is over: it has nothing to hand over.
 */
const withFirstLeaving = (view: DecisionView, list: ServerList, formerServers: FormerServers): ServerList => ({
  ...list,
  servers: list.servers.map((server) => {
    if (view.list === undefined)
      return server.leavingAtUs === undefined ? server : { ...server, leavingAtUs: server.leavingAtUs - mostGraceUs };
    const former = formerServers.get(serverKeyOf(server));
    return server.leavingAtUs === undefined || former?.leavingAtUs === undefined
      ? server
      : { ...server, leavingAtUs: Math.min(former.leavingAtUs, server.leavingAtUs) };
  }),
});

export const onList = (view: DecisionView, given: ServerList): DecisionStep => {
  if (view.list !== undefined && given.version <= view.list.version) return still(view);
  const formerServers: FormerServers = new Map(
    (view.list?.servers ?? []).map((server) => [serverKeyOf(server), server]),
  );
  const list = withFirstLeaving(view, given, formerServers);
  return restage({ ...withPlatformUs(withoutOldWeights(view, list, formerServers), list.atUs), list });
};
