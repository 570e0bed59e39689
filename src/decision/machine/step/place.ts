import type { Micros } from '../../../common/micros.js';
import type { ServerKey } from '../../../servers/list/server-key.js';
import { flightKeyOf } from '../../flight/flight.js';
import { rankIn } from '../../hotness/schedule.js';
import { paceAllows, paceKeyOf } from '../../pace/pace.js';
import { avoidedAmong } from '../../health/server-failures.js';
import { isCrowded, loadPartOf } from '../../health/server-load.js';
import { ownersAt } from '../../ring/owners-at.js';
import { rangeAt, type Range } from '../../ring/range.js';
import { ringOwners, vnodeIndexAt, type Ring } from '../../ring/ring.js';
import type { Migration } from '../../timeline/migration.js';
import type { ServiceStage } from '../../timeline/service-stage.js';
import type { Reason } from '../effect/reason.js';
import type { ReasonType } from '../effect/reason-type.js';
import { platformUsOf, routersOf, type DecisionView } from '../view/decision-view.js';
import type { ExchangeView } from '../view/exchange-view.js';
import { calmestOf, firstOf } from './first-of.js';
import type { Placement } from './placement.js';
import { readUsOf, toReadAt, waitUsOf } from '../../work/busy.js';
import type { Work } from '../../work/work.js';
import { usableIn } from './ring-pressure.js';
import { isCold } from './warmth.js';

type Wish = {
  readonly server: ServerKey;
  readonly type: ReasonType;
  readonly migration: Migration | undefined;
  readonly range: Range | undefined;
  readonly takesSlot: boolean;
};

const rangeIn = (migration: Migration, exchange: ExchangeView): Range | undefined =>
  rangeAt(migration.ranges, exchange.position);

const pacersOf = (view: DecisionView): number => {
  const routers = routersOf(view);
  return Number.isFinite(routers) ? routers : 1;
};

/** The node's own part of the fleet's pace for one range. */
const spanOf = (view: DecisionView, migration: Migration): number => migration.warmup.paceUs * pacersOf(view);

const isUsable = (view: DecisionView, stage: ServiceStage, exchange: ExchangeView, server: ServerKey): boolean =>
  stage.allowed.has(server) && !view.dark.has(server) && !exchange.tried.includes(server);

const hasFlight = (view: DecisionView, exchange: ExchangeView, server: ServerKey): boolean =>
  view.flights.has(flightKeyOf(server, exchange.prefix));

/**
 * Whether the range's slot is free. Each node's first slot lies a part of a slot behind the migration's
 * beginning, by the node's own name, so that nodes do not all send the hottest opening at one moment.
 */
const hasPace = (view: DecisionView, migration: Migration, range: Range, beginUs: Micros): boolean =>
  !view.policy.pace ||
  (platformUsOf(view) >= beginUs + view.phase * spanOf(view, migration) &&
    paceAllows(view.pace, paceKeyOf(range.to, range), view.atUs));

/** Whether the schedule has come to this opening: one rank further with every slot of the range. */
const isScheduled = (view: DecisionView, exchange: ExchangeView, migration: Migration, range: Range): boolean => {
  const slot = Math.floor((platformUsOf(view) - migration.fromUs) / spanOf(view, migration) - view.phase);
  if (slot < 0) return false;
  const most = Math.min(slot + 1, migration.warmup.prefixesPerRange);
  return (
    rankIn(view.hotness, { prefix: exchange.prefix, service: exchange.rule.service }, range, view.atUs, most) !==
    undefined
  );
};

const settlingWish = (view: DecisionView, stage: ServiceStage, exchange: ExchangeView, owner: ServerKey): Wish => {
  const plainWish: Wish = { server: owner, type: 'ring', migration: undefined, range: undefined, takesSlot: false };
  if (!isCold(view, owner, exchange.prefix)) return plainWish;
  for (const migration of stage.settling) {
    const range = rangeIn(migration, exchange);
    if (range?.to !== owner) continue;
    if (hasFlight(view, exchange, owner)) return { ...plainWish, type: 'settling', migration, range };
    if (hasPace(view, migration, range, migration.commitUs))
      return { server: owner, type: 'settling', migration, range, takesSlot: true };
    if (range.from !== undefined && isUsable(view, stage, exchange, range.from))
      return { server: range.from, type: 'paced-back', migration, range, takesSlot: false };
  }
  return plainWish;
};

const pendingWish = (
  view: DecisionView,
  stage: ServiceStage,
  exchange: ExchangeView,
  owner: ServerKey,
  bound: number,
): Wish | undefined => {
  if (!view.policy.bookings) return undefined;
  for (const migration of stage.pending) {
    const range = rangeIn(migration, exchange);
    if (range === undefined || !isUsable(view, stage, exchange, range.to)) continue;
    if (range.from !== owner && !(migration.type === 'join' && stage.joining.some((server) => server === range.from)))
      continue;
    if ((view.pressure.get(range.to) ?? 0) >= bound) continue;
    const cold = isCold(view, range.to, exchange.prefix);
    if (migration.type === 'join') {
      const isDue = cold && !hasFlight(view, exchange, range.to) && hasPace(view, migration, range, migration.fromUs);
      if (isDue && isScheduled(view, exchange, migration, range))
        return { server: range.to, type: 'warm-up', migration, range, takesSlot: true };
      continue;
    }
    if (!cold) return { server: range.to, type: 'handing-over', migration, range, takesSlot: false };
    if (!hasFlight(view, exchange, range.to) && hasPace(view, migration, range, migration.fromUs))
      return { server: range.to, type: 'handing-over', migration, range, takesSlot: true };
  }
  return undefined;
};

const pressureBoundOf = (view: DecisionView, stage: ServiceStage, exchange: ExchangeView): number => {
  const figures = view.record?.setup.pressure;
  const usable = usableIn(view, stage, exchange);
  if (figures === undefined || usable.count === 0) return 1;
  return Math.max(figures.floor, Math.ceil((figures.factor * (usable.pressure + 1)) / usable.count));
};

/** When an exchange would get its first piece from a server, counted from now. */
const readyUsAt = (view: DecisionView, exchange: ExchangeView, work: Work, server: ServerKey): Micros =>
  waitUsOf(view, server) + readUsOf(view, exchange.rule.service, toReadAt(view, server, work));

/** An owner that would take less of the time up to the target than this keeps what is its own: elsewhere it is read anew. */
const ownerPart = 0.8;
/** Another server has to be sooner by so much, since it reads anew what the owner may hold. */
const leastGainUs: Micros = 50_000;

/** A server where the first piece would come clearly sooner, for an exchange that would miss its target at its owner. */
const quicker = (
  view: DecisionView,
  exchange: ExchangeView,
  owner: ServerKey,
  candidates: readonly ServerKey[],
): ServerKey | undefined => {
  const { work, rule } = exchange;
  if (work === undefined || rule.targetUs === undefined || !view.policy.quickerServer) return undefined;
  const ownerUs = readyUsAt(view, exchange, work, owner);
  if (ownerUs <= ownerPart * (exchange.arrivedUs + rule.targetUs - view.atUs)) return undefined;
  const best = calmestOf(
    candidates,
    () => true,
    (server) => readyUsAt(view, exchange, work, server),
  );
  const leftUs = exchange.arrivedUs + rule.targetUs - view.atUs;
  if (best === undefined || best === owner) return undefined;
  const bestUs = readyUsAt(view, exchange, work, best);
  return bestUs + leastGainUs < ownerUs && bestUs < leftUs ? best : undefined;
};

const ringRangeOf = (ring: Ring, exchange: ExchangeView): Reason['range'] => {
  const ownIndex = vnodeIndexAt(ring, exchange.position);
  const ownVnode = ring.vnodes[ownIndex];
  const previousVnode = ring.vnodes[(ownIndex + ring.vnodes.length - 1) % Math.max(1, ring.vnodes.length)];
  return ownVnode === undefined || previousVnode === undefined
    ? undefined
    : { after: previousVnode.position, upTo: ownVnode.position };
};

/** Chooses the server for an exchange by the ring, its migrations, the pace and the pressure. */
export const place = (view: DecisionView, exchange: ExchangeView): Placement | undefined => {
  const stage = view.stage.services.get(exchange.rule.service);
  if (stage === undefined) return undefined;
  const owners = ownersAt(stage, exchange.position);
  const avoided = view.policy.failures
    ? avoidedAmong(view.failures, ringOwners(stage.ring), view.atUs)
    : new Set<ServerKey>();
  const hasRoom = (server: ServerKey): boolean => !view.policy.loads || !isCrowded(view.loads, server, view.atUs);
  const isSound = (server: ServerKey): boolean => !avoided.has(server) && hasRoom(server);
  const firstUsable = (isWished: (server: ServerKey) => boolean): ServerKey | undefined =>
    firstOf(owners.all(), (server) => isUsable(view, stage, exchange, server) && isWished(server));
  const bound = pressureBoundOf(view, stage, exchange);
  const pressureOf = (server: ServerKey): number => view.pressure.get(server) ?? 0;
  const placed = (wish: Wish): Placement => ({
    server: wish.server,
    slot:
      wish.takesSlot && wish.migration !== undefined && wish.range !== undefined
        ? { paceKey: paceKeyOf(wish.range.to, wish.range), spanUs: spanOf(view, wish.migration) }
        : undefined,
    reason: {
      type: wish.type,
      kind: exchange.rule.kind,
      tier: exchange.rule.tier,
      service: exchange.rule.service,
      position: exchange.position,
      range:
        wish.range === undefined
          ? ringRangeOf(stage.ring, exchange)
          : { after: wish.range.after, upTo: wish.range.upTo },
      owners: owners.first.slice(0, 4),
      migration: wish.migration?.name,
      commitUs: wish.migration?.commitUs,
      cold: stage.type === 'model' && isCold(view, wish.server, exchange.prefix),
      pressure: pressureOf(wish.server),
      pressureBound: bound,
    },
  });
  const candidates = (): readonly ServerKey[] =>
    owners.first.filter(
      (server) => isUsable(view, stage, exchange, server) && isSound(server) && pressureOf(server) < bound,
    );
  const plain = (server: ServerKey, type: ReasonType): Placement =>
    placed({ server, type, migration: undefined, range: undefined, takesSlot: false });

  const firstOwner = owners.first[0];
  const nearestOwner = firstUsable((server) => !avoided.has(server)) ?? firstUsable(() => true);
  if (firstOwner === undefined || nearestOwner === undefined) {
    const joiningServer = stage.joining
      .filter((server) => isUsable(view, stage, exchange, server))
      .sort((left, right) => pressureOf(left) - pressureOf(right))[0];
    return joiningServer === undefined ? undefined : plain(joiningServer, 'emergency');
  }
  if (stage.type === 'web') {
    const idleServer = firstUsable((server) => pressureOf(server) === 0 && isSound(server));
    const loadOf = (server: ServerKey): number =>
      Number(avoided.has(server)) + (loadPartOf(view.loads, server, view.atUs) ?? 0) + pressureOf(server);
    const calmestServer =
      idleServer ??
      calmestOf(owners.all(), (server) => isUsable(view, stage, exchange, server), loadOf) ??
      nearestOwner;
    return plain(calmestServer, calmestServer === firstOwner ? 'ring' : 'spill');
  }
  const migrationWish =
    nearestOwner === firstOwner && hasRoom(firstOwner)
      ? pendingWish(view, stage, exchange, firstOwner, bound)
      : undefined;
  if (migrationWish !== undefined) return placed(migrationWish);
  const ringWish = settlingWish(view, stage, exchange, nearestOwner);
  const quickerServer = quicker(view, exchange, ringWish.server, candidates());
  if (quickerServer !== undefined) return plain(quickerServer, 'spill');
  if (pressureOf(ringWish.server) < bound && hasRoom(ringWish.server)) {
    const passedOver = avoided.has(firstOwner) ? 'failing-owner' : 'dark-owner';
    return placed(
      nearestOwner === firstOwner || ringWish.type !== 'ring' ? ringWish : { ...ringWish, type: passedOver },
    );
  }
  const spillServer =
    firstUsable((server) => pressureOf(server) < bound && isSound(server)) ??
    firstUsable((server) => pressureOf(server) < bound && !avoided.has(server)) ??
    nearestOwner;
  return plain(spillServer, 'spill');
};
