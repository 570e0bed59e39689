import type { Micros } from '../../../common/micros.js';
import type { ServerKey } from '../../../servers/list/server-key.js';
import { flightKeyOf } from '../../flight/flight.js';
import { warmupRankOf } from '../../hotness/warmup-rank.js';
import { isSlotFree, paceKeyOf } from '../../pace/pace.js';
import { ejectedAmong } from '../../health/server-failures.js';
import { isServerSaturated, loadFractionOf } from '../../health/server-load.js';
import { ownersAt } from '../../ring/owners-at.js';
import { rangeAt, type Range } from '../../ring/range.js';
import { ringOwners, vnodeIndexAt, type Ring } from '../../ring/ring.js';
import type { Migration } from '../../topology/migration.js';
import type { ServiceTopology } from '../../topology/service-topology.js';
import type { Reason } from '../effect/reason.js';
import type { ReasonType } from '../effect/reason-type.js';
import { platformUsOf, routersOf, type DecisionView } from '../view/decision-view.js';
import type { ExchangeView } from '../view/exchange-view.js';
import { lowestCostOf, firstMatch } from './select-server.js';
import type { Placement } from './placement.js';
import { prefillUsOf, uncachedTokensAt, waitUsOf } from '../../work/prefill-estimate.js';
import type { Work } from '../../work/work.js';
import { usableOwnersOf } from './ring-pressure.js';
import { isCold } from './cached-prefixes.js';

/** A server under consideration, and the migration that suggests it, if any. */
type Choice = {
  readonly server: ServerKey;
  readonly type: ReasonType;
  readonly migration: Migration | undefined;
  readonly range: Range | undefined;
  /** Whether a delivery to it uses up a pace slot of the range. */
  readonly usesSlot: boolean;
};

const rangeIn = (migration: Migration, exchange: ExchangeView): Range | undefined =>
  rangeAt(migration.ranges, exchange.position);

const pacingRoutersOf = (view: DecisionView): number => {
  const routers = routersOf(view);
  return Number.isFinite(routers) ? routers : 1;
};

/** Time between two slots of this node in one range: the routers share the fleet's pace equally. */
const slotUsOf = (view: DecisionView, migration: Migration): number => migration.warmup.paceUs * pacingRoutersOf(view);

const isUsable = (view: DecisionView, topology: ServiceTopology, exchange: ExchangeView, server: ServerKey): boolean =>
  topology.allowed.has(server) && !view.dark.has(server) && !exchange.triedServers.includes(server);

const hasFlight = (view: DecisionView, exchange: ExchangeView, server: ServerKey): boolean =>
  view.flights.has(flightKeyOf(server, exchange.prefix));

/**
 * Whether the pace admits a cold prefill in the range now. Each node's slots start at an offset that is derived from its
 * name, so that the nodes don't all send the hottest prefix at the same time.
 */
const isAdmittedByPace = (view: DecisionView, migration: Migration, range: Range, beginUs: Micros): boolean =>
  !view.policy.pace ||
  (platformUsOf(view) >= beginUs + view.slotOffset * slotUsOf(view, migration) &&
    isSlotFree(view.pace, paceKeyOf(range.to, range), view.atUs));

/** Whether the warm-up schedule has reached the prefix: every slot of the range admits one more rank. */
const isScheduled = (view: DecisionView, exchange: ExchangeView, migration: Migration, range: Range): boolean => {
  const slot = Math.floor((platformUsOf(view) - migration.fromUs) / slotUsOf(view, migration) - view.slotOffset);
  if (slot < 0) return false;
  const rankLimit = Math.min(slot + 1, migration.warmup.prefixesPerRange);
  return (
    warmupRankOf(
      view.hotness,
      { prefix: exchange.prefix, service: exchange.rule.service },
      range,
      view.atUs,
      rankLimit,
    ) !== undefined
  );
};

/** The owner on the ring, or the former owner while the pace does not admit a cold prefix at a new one. */
const ringChoice = (
  view: DecisionView,
  topology: ServiceTopology,
  exchange: ExchangeView,
  owner: ServerKey,
): Choice => {
  const ownerChoice: Choice = { server: owner, type: 'ring', migration: undefined, range: undefined, usesSlot: false };
  if (!isCold(view, owner, exchange.prefix)) return ownerChoice;
  for (const migration of topology.settling) {
    const range = rangeIn(migration, exchange);
    if (range?.to !== owner) continue;
    if (hasFlight(view, exchange, owner)) return { ...ownerChoice, type: 'settling', migration, range };
    if (isAdmittedByPace(view, migration, range, migration.commitUs))
      return { server: owner, type: 'settling', migration, range, usesSlot: true };
    if (range.from !== undefined && isUsable(view, topology, exchange, range.from))
      return { server: range.from, type: 'paced-back', migration, range, usesSlot: false };
  }
  return ownerChoice;
};

/** The server that a pending migration suggests in place of the owner, if the pace and its pressure admit it. */
const migrationChoice = (
  view: DecisionView,
  topology: ServiceTopology,
  exchange: ExchangeView,
  owner: ServerKey,
  bound: number,
): Choice | undefined => {
  if (!view.policy.bookings) return undefined;
  for (const migration of topology.pending) {
    const range = rangeIn(migration, exchange);
    if (range === undefined || !isUsable(view, topology, exchange, range.to)) continue;
    if (
      range.from !== owner &&
      !(migration.type === 'join' && topology.joining.some((server) => server === range.from))
    )
      continue;
    if ((view.pressure.get(range.to) ?? 0) >= bound) continue;
    const cold = isCold(view, range.to, exchange.prefix);
    if (migration.type === 'join') {
      const isDue =
        cold && !hasFlight(view, exchange, range.to) && isAdmittedByPace(view, migration, range, migration.fromUs);
      if (isDue && isScheduled(view, exchange, migration, range))
        return { server: range.to, type: 'warm-up', migration, range, usesSlot: true };
      continue;
    }
    if (!cold) return { server: range.to, type: 'handing-over', migration, range, usesSlot: false };
    if (!hasFlight(view, exchange, range.to) && isAdmittedByPace(view, migration, range, migration.fromUs))
      return { server: range.to, type: 'handing-over', migration, range, usesSlot: true };
  }
  return undefined;
};

/** The pressure from which a server spills: a factor times the mean over the usable servers, but at least the floor. */
const pressureBoundOf = (view: DecisionView, topology: ServiceTopology, exchange: ExchangeView): number => {
  const limits = view.record?.setup.pressure;
  const usable = usableOwnersOf(view, topology, exchange);
  if (limits === undefined || usable.count === 0) return 1;
  return Math.max(limits.floor, Math.ceil((limits.factor * (usable.pressure + 1)) / usable.count));
};

/** Estimated time until a server delivers the first piece of an exchange. */
const firstPieceUsAt = (view: DecisionView, exchange: ExchangeView, work: Work, server: ServerKey): Micros =>
  waitUsOf(view, server) + prefillUsOf(view, exchange.rule.service, uncachedTokensAt(view, server, work));

/** An owner that needs at most this fraction of the time left to the target keeps the exchange: others prefill it again. */
const ownerTargetFraction = 0.8;
/** Minimum gain of another server, since it prefills what the owner may have cached. */
const minGainUs: Micros = 50_000;

/** The server with the clearly earliest first piece, for an exchange that would miss its latency target at its owner. */
const fasterServerOf = (
  view: DecisionView,
  exchange: ExchangeView,
  owner: ServerKey,
  candidates: readonly ServerKey[],
): ServerKey | undefined => {
  const { work, rule } = exchange;
  if (work === undefined || rule.targetUs === undefined || !view.policy.quickerServer) return undefined;
  const ownerUs = firstPieceUsAt(view, exchange, work, owner);
  if (ownerUs <= ownerTargetFraction * (exchange.arrivedUs + rule.targetUs - view.atUs)) return undefined;
  const best = lowestCostOf(
    candidates,
    () => true,
    (server) => firstPieceUsAt(view, exchange, work, server),
  );
  const leftUs = exchange.arrivedUs + rule.targetUs - view.atUs;
  if (best === undefined || best === owner) return undefined;
  const bestUs = firstPieceUsAt(view, exchange, work, best);
  return bestUs + minGainUs < ownerUs && bestUs < leftUs ? best : undefined;
};

const ringRangeOf = (ring: Ring, exchange: ExchangeView): Reason['range'] => {
  const index = vnodeIndexAt(ring, exchange.position);
  const vnode = ring.vnodes[index];
  const previousVnode = ring.vnodes[(index + ring.vnodes.length - 1) % Math.max(1, ring.vnodes.length)];
  return vnode === undefined || previousVnode === undefined
    ? undefined
    : { after: previousVnode.position, upTo: vnode.position };
};

/**
 * Chooses the server for an exchange by the ring, its migrations, the pace, and the health and pressure of the servers.
 * Undefined if no server of the service is usable.
 */
export const choosePlacement = (view: DecisionView, exchange: ExchangeView): Placement | undefined => {
  const topology = view.topology.services.get(exchange.rule.service);
  if (topology === undefined) return undefined;
  const owners = ownersAt(topology, exchange.position);
  const ejected = view.policy.failures
    ? ejectedAmong(view.failures, ringOwners(topology.ring), view.atUs)
    : new Set<ServerKey>();
  const hasCapacity = (server: ServerKey): boolean =>
    !view.policy.loads || !isServerSaturated(view.loads, server, view.atUs);
  const isHealthy = (server: ServerKey): boolean => !ejected.has(server) && hasCapacity(server);
  const firstUsable = (isMatch: (server: ServerKey) => boolean): ServerKey | undefined =>
    firstMatch(owners.all(), (server) => isUsable(view, topology, exchange, server) && isMatch(server));
  const bound = pressureBoundOf(view, topology, exchange);
  const pressureOf = (server: ServerKey): number => view.pressure.get(server) ?? 0;
  const placementOf = (choice: Choice): Placement => ({
    server: choice.server,
    paceSlot:
      choice.usesSlot && choice.migration !== undefined && choice.range !== undefined
        ? { paceKey: paceKeyOf(choice.range.to, choice.range), spanUs: slotUsOf(view, choice.migration) }
        : undefined,
    reason: {
      type: choice.type,
      kind: exchange.rule.kind,
      tier: exchange.rule.tier,
      service: exchange.rule.service,
      position: exchange.position,
      range:
        choice.range === undefined
          ? ringRangeOf(topology.ring, exchange)
          : { after: choice.range.after, upTo: choice.range.upTo },
      owners: owners.first.slice(0, 4),
      migration: choice.migration?.name,
      commitUs: choice.migration?.commitUs,
      cold: topology.type === 'model' && isCold(view, choice.server, exchange.prefix),
      pressure: pressureOf(choice.server),
      pressureBound: bound,
    },
  });
  const candidates = (): readonly ServerKey[] =>
    owners.first.filter(
      (server) => isUsable(view, topology, exchange, server) && isHealthy(server) && pressureOf(server) < bound,
    );
  const placementAt = (server: ServerKey, type: ReasonType): Placement =>
    placementOf({ server, type, migration: undefined, range: undefined, usesSlot: false });

  const firstOwner = owners.first[0];
  const firstUsableOwner = firstUsable((server) => !ejected.has(server)) ?? firstUsable(() => true);
  if (firstOwner === undefined || firstUsableOwner === undefined) {
    const joiningServer = topology.joining
      .filter((server) => isUsable(view, topology, exchange, server))
      .sort((left, right) => pressureOf(left) - pressureOf(right))[0];
    return joiningServer === undefined ? undefined : placementAt(joiningServer, 'emergency');
  }
  if (topology.type === 'web') {
    const idleServer = firstUsable((server) => pressureOf(server) === 0 && isHealthy(server));
    const loadOf = (server: ServerKey): number =>
      Number(ejected.has(server)) + (loadFractionOf(view.loads, server, view.atUs) ?? 0) + pressureOf(server);
    const leastLoadedServer =
      idleServer ??
      lowestCostOf(owners.all(), (server) => isUsable(view, topology, exchange, server), loadOf) ??
      firstUsableOwner;
    return placementAt(leastLoadedServer, leastLoadedServer === firstOwner ? 'ring' : 'spill');
  }
  const pending =
    firstUsableOwner === firstOwner && hasCapacity(firstOwner)
      ? migrationChoice(view, topology, exchange, firstOwner, bound)
      : undefined;
  if (pending !== undefined) return placementOf(pending);
  const onRing = ringChoice(view, topology, exchange, firstUsableOwner);
  const fasterServer = fasterServerOf(view, exchange, onRing.server, candidates());
  if (fasterServer !== undefined) return placementAt(fasterServer, 'spill');
  if (pressureOf(onRing.server) < bound && hasCapacity(onRing.server)) {
    const skippedBecause = ejected.has(firstOwner) ? 'failing-owner' : 'dark-owner';
    return placementOf(
      firstUsableOwner === firstOwner || onRing.type !== 'ring' ? onRing : { ...onRing, type: skippedBecause },
    );
  }
  const spillServer =
    firstUsable((server) => pressureOf(server) < bound && isHealthy(server)) ??
    firstUsable((server) => pressureOf(server) < bound && !ejected.has(server)) ??
    firstUsableOwner;
  return placementAt(spillServer, 'spill');
};
