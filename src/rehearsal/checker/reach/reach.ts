import type { Micros } from '../../../common/micros.js';
import type { History } from '../../history/history.js';
import type { Span } from './span.js';
import { troublesOf } from './troubles-of.js';

/** Who could reach whom, from what was done to the world and from nothing that the fleet says. */
export type Reach = {
  /** When a node was apart from every process that a majority of the core can tell something. */
  readonly apart: (node: string) => readonly Span[];
  /** When a node could not itself reach a majority of healthy core machines that reach each other. */
  readonly coreless: (node: string) => readonly Span[];
  /** When a node could reach no healthy server of a service. */
  readonly serverless: (node: string, service: string) => readonly Span[];
  readonly hit: (who: string) => readonly Span[];
};

const holds = (span: Span, atUs: Micros): boolean => span.fromUs <= atUs && atUs < span.untilUs;

export const reachOf = ({ nodes, servers, troubles: records }: History): Reach => {
  const { cuts, outages } = troublesOf(records);
  const boundaries = [
    ...new Set([
      0,
      ...[...cuts, ...outages].flatMap(({ fromUs, untilUs }) => [fromUs, untilUs]),
      ...servers.map(({ openedUs }) => openedUs),
    ]),
  ]
    .filter((boundaryUs) => Number.isFinite(boundaryUs))
    .sort((left, right) => left - right);
  const cores = nodes.filter((node) => node.role === 'control').map((node) => node.node);
  const majority = Math.floor(cores.length / 2) + 1;

  /** The spans, between boundaries, in which something is so. */
  const spansWhere = (
    isSo: (
      isLinked: (left: string, right: string) => boolean,
      isHit: (who: string) => boolean,
      atUs: Micros,
    ) => boolean,
  ): readonly Span[] => {
    const spans: Span[] = [];
    boundaries.forEach((fromUs, place) => {
      const untilUs = boundaries[place + 1] ?? Number.POSITIVE_INFINITY;
      const cutPairs = new Set(cuts.filter((cut) => holds(cut, fromUs)).map((cut) => `${cut.from}>${cut.to}`));
      const hitOnes = new Set(
        outages.filter((outage) => outage.what !== 'crowd' && holds(outage, fromUs)).map((outage) => outage.who),
      );
      const isLinked = (left: string, right: string): boolean =>
        !cutPairs.has(`${left}>${right}`) && !cutPairs.has(`${right}>${left}`);
      if (!isSo(isLinked, (who) => hitOnes.has(who), fromUs)) return;
      const former = spans[spans.length - 1];
      if (former?.untilUs === fromUs) spans[spans.length - 1] = { fromUs: former.fromUs, untilUs };
      else spans.push({ fromUs, untilUs });
    });
    return spans;
  };

  const remembered = (spansOf: (key: string) => readonly Span[]): ((key: string) => readonly Span[]) => {
    const known = new Map<string, readonly Span[]>();
    return (key) => {
      const spans = known.get(key) ?? spansOf(key);
      known.set(key, spans);
      return spans;
    };
  };

  const apart = remembered((node) =>
    spansWhere((isLinked, isHit) => {
      if (isHit(node)) return true;
      const reached = new Set([node]);
      for (const from of reached)
        for (const { node: to } of nodes) if (!isHit(to) && isLinked(from, to)) reached.add(to);
      return cores.filter((core) => reached.has(core)).length < majority;
    }),
  );
  const coreless = remembered((node) =>
    spansWhere((isLinked, isHit) => {
      const near = cores.filter((core) => !isHit(core) && isLinked(node, core));
      return (
        isHit(node) ||
        near.filter((core) => near.every((other) => other === core || isLinked(core, other))).length < majority
      );
    }),
  );
  const serverlessBy = remembered((key) => {
    const [node = '', service] = key.split(' ');
    return spansWhere(
      (isLinked, isHit, atUs) =>
        isHit(node) ||
        !servers.some(
          ({ server, service: own, openedUs }) =>
            own === service && openedUs <= atUs && !isHit(server) && isLinked(node, server),
        ),
    );
  });
  return {
    apart,
    coreless,
    serverless: (node, service) => serverlessBy(`${node} ${service}`),
    hit: (who) => outages.filter((outage) => outage.who === who),
  };
};
