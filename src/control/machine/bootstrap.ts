/**
 * Bootstrap of a core: seeds with empty disks probe each other, and each persists an offer, the members that it agrees
 * to start with. The core starts when all seeds that may bootstrap have made the same offer; other nodes join it.
 */
import { withEntry } from '../../common/maps.js';
import type { LogEntry } from '../log/log-entry.js';
import type { Member } from '../members/member.js';
import { andThen, stepOf, type ControlStep } from './control-step.js';
import type { Replica, SeedProbe } from './replica.js';
import { entryAt, membersOf } from './log-queries.js';
import type { ControlMessage } from './message.js';
import { randomElectionDeadline, passiveRoleOf, changeRole } from './roles.js';
import { rejoinTimeoutUs, heartbeatIntervalUs } from './parameters.js';

type Probe = Extract<ControlMessage, { readonly type: 'probe' | 'probeReply' }>;

const isBootstrapped = (replica: Replica): boolean => membersOf(replica).length > 0;

/** Sends a join request to all known addresses of the core: as a new member, or as one whose address has changed. */
export const broadcastJoin = (replica: Replica): ControlStep => {
  const addresses = new Set([
    ...replica.seeds,
    ...replica.knownAddresses,
    ...membersOf(replica).map((member) => member.address),
  ]);
  addresses.delete(replica.address);
  return stepOf(
    { ...replica, nextHeartbeatUs: replica.atUs + rejoinTimeoutUs / 2 },
    ...[...addresses].map((address) => ({
      type: 'sendTo' as const,
      address,
      message: { type: 'join' as const, identity: replica.identity, address: replica.address },
    })),
  );
};

/** Probes the other seeds. The clock and the random number make the nonce differ from all earlier ones. */
const probeSeeds = (replica: Replica, chance: number): ControlStep => {
  const nonce = `${replica.atUs}.${chance}`;
  return stepOf(
    { ...replica, probeNonce: nonce, nextHeartbeatUs: replica.atUs + heartbeatIntervalUs * 2 },
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
          founds: replica.founds,
          offer: replica.offer,
          nonce,
        },
      })),
  );
};

const parseOffer = (offer: string): readonly Member[] => offer.split(',').map(parseMember);

const parseMember = (text: string): Member => {
  const [identity = '', address = ''] = text.split('@');
  return { identity, address, voter: true };
};

const startCore = (replica: Replica, offer: string, chance: number): ControlStep => {
  const entry: LogEntry = { index: 1, term: 0, command: { type: 'members', members: parseOffer(offer) } };
  const startedReplica: Replica = {
    ...replica,
    entries: [entry],
    electionDeadlineUs: randomElectionDeadline(replica, chance),
  };
  return andThen(
    stepOf(startedReplica, { type: 'persist', record: { type: 'entries', entries: [entry] } }),
    (afterPersist) => changeRole(afterPersist, { role: passiveRoleOf(afterPersist) }),
  );
};

type SeedView = { readonly address: string } & SeedProbe;

/** The last known state of each seed, this node included; a seed that has not replied yet is left out. */
const seedViewsOf = (replica: Replica): readonly SeedView[] => {
  const ownProbe: SeedProbe = {
    identity: replica.identity,
    offer: replica.offer,
    founded: false,
    founds: replica.founds,
    nonce: replica.probeNonce,
  };
  const probes = withEntry(replica.probes, replica.address, ownProbe);
  return replica.seeds.flatMap((address) => {
    const probe = probes.get(address);
    return probe === undefined ? [] : [{ address, ...probe }];
  });
};

const offerOf = (members: readonly Pick<Member, 'identity' | 'address'>[]): string =>
  members
    .map(({ identity, address }) => `${identity}@${address}`)
    .sort()
    .join(',');

/**
 * Whether all seeds that may bootstrap have made the same offer, and are a majority of the seeds. A seed whose disk was
 * wiped may not bootstrap any more: it is named as a member and follows. Two cores can't both commit: a majority of one
 * and the founders of the other share an address, and the node there would have to be in a core and in none with the
 * same identity, or to have been wiped and still be allowed to bootstrap.
 */
const isAgreed = (seeds: readonly SeedView[], offer: string): boolean => {
  const founders = seeds.filter((seed) => seed.founds);
  return founders.length * 2 > seeds.length && founders.every((seed) => seed.offer === offer);
};

/**
 * Makes an offer, or starts the core once all seeds that may bootstrap have made the same offer while none was in a
 * core. A seed that has started the core still reports its offer, since the slower seeds need it to follow.
 */
const evaluateBootstrap = (replica: Replica, chance: number): ControlStep => {
  if (isBootstrapped(replica) || !replica.founds || !replica.seeds.includes(replica.address)) return stepOf(replica);
  const seedViews = seedViewsOf(replica);
  if (seedViews.length < replica.seeds.length || seedViews.some((seed) => seed.founded)) return stepOf(replica);
  const offer = offerOf(seedViews);
  if (replica.offer === offer) return isAgreed(seedViews, offer) ? startCore(replica, offer, chance) : stepOf(replica);
  if (!canReplaceOffer(replica, seedViews)) return stepOf(replica);
  const offerStep = stepOf({ ...replica, offer }, { type: 'persist', record: { type: 'offer', offer } });
  return andThen(offerStep, (afterOffer) => evaluateBootstrap(afterOffer, chance));
};

/**
 * Whether a seed may replace its offer: only while a majority of the members that it names report that they are in no
 * core. Then no core of that offer can have committed anything, and none ever will.
 */
const canReplaceOffer = (replica: Replica, seedViews: readonly SeedView[]): boolean => {
  if (replica.offer === undefined) return true;
  const offeredMembers = parseOffer(replica.offer);
  const availableMembers = offeredMembers.filter((member) =>
    seedViews.some((seed) => seed.identity === member.identity),
  );
  return availableMembers.length * 2 > offeredMembers.length;
};

/** Probes the other seeds for a core to join or to bootstrap; a sole seed bootstraps at once. */
export const tryBootstrap = (replica: Replica, chance: number): ControlStep =>
  andThen(evaluateBootstrap(replica, chance), (afterEvaluation) => probeSeeds(afterEvaluation, chance));

const hasMember = (offer: string, identity: string): boolean =>
  parseOffer(offer).some((member) => member.identity === identity);

/**
 * Starts the core that the sender of a probe has started, if its offer names this node. A node must not contradict its
 * own offer: a core of another offer is followed only if the sender is a member of this node's own offer, since that
 * member then has never made this node's offer and never will.
 */
const followBootstrap = (replica: Replica, message: Probe, chance: number): ControlStep => {
  const { offer } = message;
  const hasConflictingOffer =
    replica.offer !== undefined && replica.offer !== offer && !hasMember(replica.offer, message.identity);
  return !isBootstrapped(replica) &&
    message.founded &&
    offer !== undefined &&
    !hasConflictingOffer &&
    hasMember(offer, replica.identity)
    ? startCore(replica, offer, chance)
    : evaluateBootstrap(replica, chance);
};

/**
 * Whether an append comes from a core that contradicts this node's offer: this node is in no core yet, the core has
 * committed nothing, and its leader is not a member of the offer.
 */
export const isFromRejectedCore = (replica: Replica, from: string, leaderCommit: number): boolean =>
  !isBootstrapped(replica) && replica.offer !== undefined && leaderCommit === 0 && !hasMember(replica.offer, from);

/**
 * Records the reply of a seed. Only the first reply to the last probe counts, so the identities seen at an address
 * never go back to an earlier one, and neither do the offers that are made from them.
 */
const recordReply = (replica: Replica, message: Probe): Replica => {
  const { identity, address, offer, founded: isFounded, founds, nonce } = message;
  const isFirstReply =
    message.type === 'probeReply' && nonce === replica.probeNonce && replica.probes.get(address)?.nonce !== nonce;
  const probe: SeedProbe = { identity, offer, founded: isFounded, founds, nonce };
  return isFirstReply ? { ...replica, probes: withEntry(replica.probes, address, probe) } : replica;
};

const requestJoin = (replica: Replica, address: string): ControlStep =>
  stepOf(replica, {
    type: 'sendTo',
    address,
    message: { type: 'join', identity: replica.identity, address: replica.address },
  });

/**
 * The offer that this node reports. A node in a core reports the one that the core started with, which need not be its
 * own last offer, or none if that entry has been compacted: the core is then joined, not followed from its first entry.
 */
const reportedOfferOf = (replica: Replica): string | undefined => {
  if (!isBootstrapped(replica)) return replica.offer;
  const command = entryAt(replica, 1)?.command;
  return command?.type === 'members' ? offerOf(command.members) : undefined;
};

const replyToProbe = (replica: Replica, { address, nonce }: Probe): ControlStep =>
  stepOf(replica, {
    type: 'sendTo',
    address,
    message: {
      type: 'probeReply',
      identity: replica.identity,
      address: replica.address,
      founded: isBootstrapped(replica),
      founds: replica.founds,
      offer: reportedOfferOf(replica),
      nonce,
    },
  });

/**
 * Handles a probe or its reply: bootstraps or follows a core, asks to join the sender's core, and replies to a probe.
 */
export const onProbe = (replica: Replica, message: Probe, chance: number): ControlStep => {
  const followStep = followBootstrap(recordReply(replica, message), message, chance);
  const joinStep = andThen(followStep, (afterFollow) =>
    message.founded && !isBootstrapped(afterFollow) ? requestJoin(afterFollow, message.address) : stepOf(afterFollow),
  );
  return message.type === 'probeReply' ? joinStep : andThen(joinStep, (afterJoin) => replyToProbe(afterJoin, message));
};
