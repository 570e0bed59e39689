import { withEntry } from '../../common/maps.js';
import type { LogEntry } from '../log/log-entry.js';
import type { Member } from '../members/member.js';
import { andThen, stepOf, type ControlStep } from './control-step.js';
import type { Replica } from './replica.js';
import { membersOf } from './log-reading.js';
import type { ControlMessage } from './message.js';
import { drawElectionDeadline, passiveRoleOf, changeRole } from './roles.js';
import { rejoinTimeoutUs, heartbeatIntervalUs } from './timing.js';

type Probe = Extract<ControlMessage, { readonly type: 'probe' | 'probeReply' }>;

const isBootstrapped = (replica: Replica): boolean => membersOf(replica).length > 0;

/** Another address of the same core; it pendingRequests to join, or to be known where it now is. */
export const findLeader = (replica: Replica): ControlStep => {
  const addresses = new Set([
    ...replica.seeds,
    ...replica.knownAddresses,
    ...membersOf(replica).map((member) => member.address),
  ]);
  addresses.delete(replica.address);
  return stepOf(
    { ...replica, heartbeatUs: replica.atUs + rejoinTimeoutUs / 2 },
    ...[...addresses].map((address) => ({
      type: 'sendTo' as const,
      address,
      message: { type: 'join' as const, identity: replica.identity, address: replica.address },
    })),
  );
};

const probeSeeds = (replica: Replica): ControlStep =>
  stepOf(
    { ...replica, heartbeatUs: replica.atUs + heartbeatIntervalUs * 2 },
    ...[...new Set([...replica.seeds, ...replica.knownAddresses])]
      .filter((address) => address !== replica.address)
      .map((address) => ({
        type: 'sendTo' as const,
        address,
        message: {
          type: 'probe' as const,
          identity: replica.identity,
          address: replica.address,
          founded: false,
          offer: replica.offer,
        },
      })),
  );

const parseBootstrapProposal = (offer: string): readonly Member[] => offer.split(',').map(parseMember);

const parseMember = (text: string): Member => {
  const [identity = '', address = ''] = text.split('@');
  return { identity, address, voter: true };
};

const founded = (replica: Replica, offer: string, chance: number): ControlStep => {
  const entry: LogEntry = { index: 1, term: 0, command: { type: 'members', members: parseBootstrapProposal(offer) } };
  const foundedReplica: Replica = { ...replica, entries: [entry], electionUs: drawElectionDeadline(replica, chance) };
  return andThen(
    stepOf(foundedReplica, { type: 'persist', record: { type: 'entries', entries: [entry] } }),
    (keptReplica) => changeRole(keptReplica, { role: passiveRoleOf(keptReplica) }),
  );
};

/**
 * A core is founded once, when all seeds have bound themselves to the same members while all were empty.
 * A seed that has founded it already still shows its offer, or the slower ones could never follow.
 */
const evaluateBootstrap = (replica: Replica, chance: number): ControlStep => {
  if (isBootstrapped(replica) || !replica.founds || !replica.seeds.includes(replica.address)) return stepOf(replica);
  const probes = withEntry(replica.probes, replica.address, {
    identity: replica.identity,
    offer: replica.offer,
    founded: false,
  });
  const seen = replica.seeds.flatMap((address) => {
    const probe = probes.get(address);
    return probe === undefined ? [] : [{ address, ...probe }];
  });
  if (seen.length < replica.seeds.length) return stepOf(replica);
  const offer = seen
    .map(({ identity, address }) => `${identity}@${address}`)
    .sort()
    .join(',');
  if (seen.some((probe) => probe.founded)) return stepOf(replica);
  if (replica.offer === offer)
    return seen.every((probe) => probe.offer === offer) ? founded(replica, offer, chance) : stepOf(replica);
  return mayReplaceProposal(replica, seen)
    ? andThen(stepOf({ ...replica, offer }, { type: 'persist', record: { type: 'offer', offer } }), (offeredReplica) =>
        evaluateBootstrap(offeredReplica, chance),
      )
    : stepOf(replica);
};

/**
 * A seed that is bound already may bind itself anew only while a majority of those it was bound with is seen empty and
 * unfounded: then nothing can have been taken by a core of that binding, and nothing ever will be.
 */
const mayReplaceProposal = (replica: Replica, seen: readonly { readonly identity: string }[]): boolean => {
  if (replica.offer === undefined) return true;
  const bound = parseBootstrapProposal(replica.offer);
  return bound.filter((member) => seen.some((probe) => probe.identity === member.identity)).length * 2 > bound.length;
};

/** Looks for a core, or for those to found it with; a sole seed waits for nobody. */
export const tryBootstrap = (replica: Replica, chance: number): ControlStep =>
  andThen(evaluateBootstrap(replica, chance), probeSeeds);

/** A founder names those it was bound with; an empty seed among them follows it, whatever it has bound itself to since. */
const adoptBootstrap = (replica: Replica, message: Probe, chance: number): ControlStep =>
  !isBootstrapped(replica) &&
  message.founded &&
  message.offer !== undefined &&
  parseBootstrapProposal(message.offer).some((member) => member.identity === replica.identity)
    ? founded(replica, message.offer, chance)
    : evaluateBootstrap(replica, chance);

export const onProbe = (replica: Replica, message: Probe, chance: number): ControlStep => {
  const heardReplica: Replica = {
    ...replica,
    probes: withEntry(replica.probes, message.address, {
      identity: message.identity,
      offer: message.offer,
      founded: message.founded,
    }),
  };
  const weighedStep = adoptBootstrap(heardReplica, message, chance);
  const joinStep = andThen(weighedStep, (weighedReplica) =>
    message.founded && !isBootstrapped(weighedReplica)
      ? stepOf(weighedReplica, {
          type: 'sendTo',
          address: message.address,
          message: { type: 'join', identity: replica.identity, address: replica.address },
        })
      : stepOf(weighedReplica),
  );
  return message.type === 'probeReply'
    ? joinStep
    : andThen(joinStep, (answeringReplica) =>
        stepOf(answeringReplica, {
          type: 'sendTo',
          address: message.address,
          message: {
            type: 'probeReply',
            identity: answeringReplica.identity,
            address: answeringReplica.address,
            founded: isBootstrapped(answeringReplica),
            offer: answeringReplica.offer,
          },
        }),
      );
};
