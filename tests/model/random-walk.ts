import type { Micros } from '../../src/common/micros.js';
import type { Command } from '../../src/control/log/command.js';
import { membersOf } from '../../src/control/machine/log-queries.js';
import { heartbeatsOf } from '../../src/control/machine/replication.js';
import {
  chanceOf,
  deliver,
  deliverAll,
  deliverExcept,
  emptyCluster,
  fail,
  hear,
  holdFrame,
  leaderPlace,
  loseDisk,
  playFor,
  replace,
  restart,
  start,
  tick,
  tickAllOnce,
  turnFile,
  withFrames,
  withoutFrame,
  type Cluster,
} from './cluster.js';
import { convergence } from './convergence.js';
import { mayLoseDisk } from './loss-rule.js';

/** One walk: how many machines, whether the core is founded before it begins, and a whole number for each action. */
export type Walk = {
  readonly size: number;
  readonly isFounded: boolean;
  readonly actions: readonly number[];
};

export type WalkEnd = {
  readonly broken: readonly string[];
  readonly trace: readonly string[];
  readonly cluster: Cluster;
};

/** Takes an action apart: each draw gives a number below an end and leaves the rest for the next one. */
type Draw = (end: number) => number;

const drawFrom = (action: number): Draw => {
  let rest = action;
  return (end) => {
    const drawn = rest % end;
    rest = Math.floor(rest / end);
    return drawn;
  };
};

type Act = (cluster: Cluster, draw: Draw) => { readonly cluster: Cluster; readonly what: string };

const spans: readonly Micros[] = [25_000, 100_000, 250_000, 600_000, 2_100_000];
const settleRounds: readonly number[] = [2, 8, 40, 120, 240];
const untilChangeRounds = 400;
const foundingRounds = 160;

const nameOf = (cluster: Cluster, place: number): string => cluster.machines[place]?.name ?? '?';

const drawPlace = (cluster: Cluster, draw: Draw): number => draw(cluster.machines.length);

/** The leader in half of all draws, any machine in the others. */
const drawAsked = (cluster: Cluster, draw: Draw): number => {
  const anyPlace = drawPlace(cluster, draw);
  return draw(2) === 0 ? (leaderPlace(cluster) ?? anyPlace) : anyPlace;
};

const deliverOne: Act = (cluster, draw) => {
  const place = draw(Math.max(1, cluster.frames.length));
  const frame = cluster.frames[place];
  if (frame === undefined) return { cluster, what: 'deliver nothing' };
  return {
    cluster: deliver(withoutFrame(cluster, place), frame),
    what: `deliver ${frame.message.type} ${frame.identity} -> ${frame.address}`,
  };
};

const deliverTwice: Act = (cluster, draw) => {
  const place = draw(Math.max(1, cluster.frames.length));
  const frame = cluster.frames[place];
  if (frame === undefined) return { cluster, what: 'deliver nothing' };
  return {
    cluster: holdFrame(deliver(withoutFrame(cluster, place), frame), frame),
    what: `deliver ${frame.message.type} ${frame.identity} -> ${frame.address}, and hold a copy`,
  };
};

const deliverLate: Act = (cluster, draw) => {
  const frame = cluster.lateFrames[draw(Math.max(1, cluster.lateFrames.length))];
  if (frame === undefined) return { cluster, what: 'deliver nothing late' };
  return {
    cluster: deliver(cluster, frame),
    what: `deliver late ${frame.message.type} ${frame.identity} -> ${frame.address}`,
  };
};

const drop: Act = (cluster, draw) => {
  const place = draw(Math.max(1, cluster.frames.length));
  const frame = cluster.frames[place];
  return {
    cluster: withoutFrame(cluster, place),
    what: frame === undefined ? 'drop nothing' : `drop ${frame.message.type} ${frame.identity} -> ${frame.address}`,
  };
};

const failDelivering: Act = (cluster, draw) => {
  const place = draw(Math.max(1, cluster.frames.length));
  const frame = cluster.frames[place];
  if (frame === undefined) return { cluster, what: 'deliver nothing' };
  const syncedCount = draw(3);
  return {
    cluster: deliver(withoutFrame(cluster, place), frame, syncedCount),
    what: `${frame.address} fails on ${frame.message.type} of ${frame.identity} with ${syncedCount} records synced`,
  };
};

const tickOne: Act = (cluster, draw) => {
  const place = drawPlace(cluster, draw);
  const span = spans[draw(spans.length)] ?? 0;
  return { cluster: tick(cluster, place, span), what: `tick ${nameOf(cluster, place)} by ${span}` };
};

const tickAll: Act = (cluster, draw) => {
  const span = spans[draw(spans.length)] ?? 0;
  return {
    cluster: cluster.machines.reduce((reached, _, place) => tick(reached, place, span), cluster),
    what: `tick all by ${span}`,
  };
};

const claimOf = (cluster: Cluster, key: number): Command => ({
  type: 'claim',
  key: `k${key}`,
  exchange: `x${cluster.steps}`,
  atUs: cluster.steps,
});

const propose: Act = (cluster, draw) => {
  const place = drawAsked(cluster, draw);
  const command = claimOf(cluster, draw(3));
  const at = cluster.machines[place]?.clockUs ?? 0;
  return {
    cluster: hear(cluster, place, { type: 'propose', at, requestId: `r${cluster.steps}`, command }),
    what: `propose a claim to ${nameOf(cluster, place)}`,
  };
};

const failAndStart: Act = (cluster, draw) => {
  const place = drawPlace(cluster, draw);
  const machine = cluster.machines[place];
  if (machine?.replica === undefined)
    return { cluster: start(cluster, place), what: `start ${nameOf(cluster, place)}` };
  return draw(2) === 0
    ? { cluster: fail(cluster, place), what: `fail ${nameOf(cluster, place)}` }
    : { cluster: restart(cluster, place), what: `restart ${nameOf(cluster, place)}` };
};

const loseOrReplace: Act = (cluster, draw) => {
  const leader = leaderPlace(cluster);
  const anyPlace = drawPlace(cluster, draw);
  const place = draw(3) === 0 && leader !== undefined ? leader : anyPlace;
  const machine = cluster.machines[place];
  if (machine === undefined) return { cluster, what: 'lose nothing' };
  const cutsConnections = draw(2) === 0;
  const isReplaced = draw(4) > 0;
  const moves = draw(3) === 0;
  if (machine.isGone) return { cluster: replace(cluster, place, moves), what: `replace ${machine.identity}` };
  if (!mayLoseDisk(cluster, machine.identity)) return { cluster, what: `keep ${machine.identity}, a loss too many` };
  const lost = loseDisk(cluster, place, cutsConnections);
  return isReplaced
    ? {
        cluster: replace(lost, place, moves),
        what: `lose the disk of ${machine.identity}, an empty machine comes${moves ? ' elsewhere' : ''}`,
      }
    : { cluster: lost, what: `lose the disk of ${machine.identity}` };
};

const resign: Act = (cluster, draw) => {
  const place = drawAsked(cluster, draw);
  const at = cluster.machines[place]?.clockUs ?? 0;
  return {
    cluster: hear(cluster, place, { type: 'resign', at, chance: chanceOf(cluster) }),
    what: `${nameOf(cluster, place)} resigns`,
  };
};

const settle: Act = (cluster, draw) => {
  const rounds = settleRounds[draw(settleRounds.length)] ?? 0;
  return { cluster: playFor(cluster, rounds, () => false), what: `settle for ${rounds} rounds` };
};

type Cut = 'to' | 'from' | 'both';
const cuts: readonly Cut[] = ['to', 'from', 'both'];
const troubledRounds: readonly number[] = [10, 30, 90];
const roundsPerProposal = 5;

const withoutCutFrames = (cluster: Cluster, address: string, cut: Cut): Cluster => ({
  ...cluster,
  frames: cluster.frames.filter(
    (frame) => (cut === 'from' || frame.address !== address) && (cut === 'to' || frame.from !== address),
  ),
});

const proposeToLeader = (cluster: Cluster): Cluster => {
  const place = leaderPlace(cluster);
  const at = cluster.machines[place ?? -1]?.clockUs;
  if (place === undefined || at === undefined) return cluster;
  const command = claimOf(cluster, cluster.steps % 3);
  return hear(cluster, place, { type: 'propose', at, requestId: `r${cluster.steps}`, command });
};

/** Goes on with one machine cut off, one way or both, while proposals come in. */
const settleCut: Act = (cluster, draw) => {
  const { name, address } = cluster.machines[drawPlace(cluster, draw)] ?? {};
  const cut = cuts[draw(cuts.length)];
  const rounds = troubledRounds[draw(troubledRounds.length)] ?? 0;
  if (address === undefined || cut === undefined) return { cluster, what: 'cut nothing' };
  let reached = cluster;
  for (let round = 0; round < rounds && reached.broken.length === 0; round += 1) {
    const asked = round % roundsPerProposal === 0 ? proposeToLeader(reached) : reached;
    reached = deliverAll(withoutCutFrames(tickAllOnce(asked), address, cut));
  }
  return { cluster: reached, what: `${rounds} rounds with proposals, ${name} cut off: ${cut}` };
};

const configurationOf = (cluster: Cluster): string =>
  JSON.stringify(cluster.machines.map(({ replica }) => (replica?.role === 'leader' ? membersOf(replica) : undefined)));

/**
 * Goes on until a leader has begun to change the members, lets the change reach all machines or all but one for some
 * rounds of messages, and takes a disk away in half of all draws: a change is when a loss hurts most.
 */
const settleUntilChange: Act = (cluster, draw) => {
  const former = configurationOf(cluster);
  const cutMachine = cluster.machines[draw(cluster.machines.length + 1)];
  const deliveries = draw(4);
  const isLossDue = draw(2) === 0;
  const changed = playFor(cluster, untilChangeRounds, (reached) => configurationOf(reached) !== former);
  const delivered = Array.from({ length: deliveries }).reduce<Cluster>(
    (reached) => deliverExcept(reached, cutMachine?.address),
    changed,
  );
  const what = `settle until the members change, ${deliveries} deliveries to all but ${cutMachine?.name ?? 'none'}`;
  if (!isLossDue) return { cluster: delivered, what };
  const loss = loseOrReplace(delivered, draw);
  return { cluster: loss.cluster, what: `${what}, ${loss.what}` };
};

/** The heartbeat of a leader whose disk is busy. */
const sendHeartbeats: Act = (cluster, draw) => {
  const place = drawAsked(cluster, draw);
  const machine = cluster.machines[place];
  const { replica } = machine ?? {};
  if (machine === undefined || replica === undefined) return { cluster, what: 'no heartbeat' };
  const frames = heartbeatsOf(replica).flatMap((effect) => {
    if (effect.type !== 'send') return [];
    const address = membersOf(replica).find((member) => member.identity === effect.to)?.address;
    return address === undefined
      ? []
      : [{ from: machine.address, identity: replica.identity, to: effect.to, address, message: effect.message }];
  });
  return { cluster: withFrames(cluster, frames), what: `heartbeats of ${machine.name} while its disk is busy` };
};

const turnOneFile: Act = (cluster, draw) => {
  const place = drawPlace(cluster, draw);
  return { cluster: turnFile(cluster, place), what: `${nameOf(cluster, place)} begins another file` };
};

/** Every kind of action as often as its weight says. */
const weightedActs: readonly (readonly [number, Act])[] = [
  [12, deliverOne],
  [2, deliverTwice],
  [2, deliverLate],
  [2, drop],
  [2, failDelivering],
  [3, tickOne],
  [2, tickAll],
  [3, propose],
  [3, failAndStart],
  [3, loseOrReplace],
  [1, resign],
  [4, settle],
  [4, settleCut],
  [3, settleUntilChange],
  [1, sendHeartbeats],
  [1, turnOneFile],
];

const acts: readonly Act[] = weightedActs.flatMap(([weight, act]) => Array.from({ length: weight }, () => act));

const act = (cluster: Cluster, action: number): { readonly cluster: Cluster; readonly what: string } => {
  const draw = drawFrom(action);
  const chosen = acts[draw(acts.length)] ?? deliverOne;
  return chosen(cluster, draw);
};

const begun = ({ size, isFounded }: Walk): Cluster => {
  const empty = emptyCluster(size);
  const started = empty.machines.reduce((reached, _, place) => start(reached, place), empty);
  return isFounded ? playFor(started, foundingRounds, () => false) : started;
};

/** Plays a walk, stops at the first break, and heals everything at its end to see that the core works again. */
export const playWalk = (walk: Walk): WalkEnd => {
  const trace: string[] = [];
  let cluster = begun(walk);
  for (const action of walk.actions) {
    if (cluster.broken.length > 0) break;
    const acted = act(cluster, action);
    cluster = acted.cluster;
    trace.push(acted.what);
  }
  if (cluster.broken.length > 0) return { broken: cluster.broken, trace, cluster };
  const healed = convergence(cluster);
  return { broken: healed.broken, trace: [...trace, 'heal'], cluster: healed };
};
