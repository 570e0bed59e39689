import { withEntry } from '../../common/maps.js';
import type { LogEntry } from '../log/log-entry.js';
import type { Member } from '../members/member.js';
import { andThen, stepOf, type ControlStep } from './control-step.js';
import type { Replica, SeedProbe } from './replica.js';
import { entryAt, membersOf } from './log-reading.js';
import type { ControlMessage } from './message.js';
import { drawElectionDeadline, passiveRoleOf, changeRole } from './roles.js';
import { rejoinTimeoutUs, heartbeatIntervalUs } from './timing.js';

type Probe = Extract<ControlMessage, { readonly type: 'probe' | 'probeReply' }>;

const isBootstrapped = (replica: Replica): boolean => membersOf(replica).length > 0;

/** Asks all known addresses of the core to be taken in, or to be known where it now is. */
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

/** Asks the other seeds anew; the clock and the drawn number keep the question apart from all former ones. */
const probeSeeds = (replica: Replica, chance: number): ControlStep => {
  const nonce = `${replica.atUs}.${chance}`;
  return stepOf(
    { ...replica, probeNonce: nonce, heartbeatUs: replica.atUs + heartbeatIntervalUs * 2 },
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

type SeedView = { readonly address: string } & SeedProbe;

/** What is known of each seed by its newest probe, this machine among them; of a seed unheard so far, nothing. */
const seenSeedsOf = (replica: Replica): readonly SeedView[] => {
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

const offerOf = (machines: readonly Pick<Member, 'identity' | 'address'>[]): string =>
  machines
    .map(({ identity, address }) => `${identity}@${address}`)
    .sort()
    .join(',');

/**
 * Whether all seeds that may found are bound to one proposal, and are a majority of the seeds. A seed that was wiped
 * comes back as one that may not found: it is named as a member and follows. Two cores can't both commit: a majority of
 * the one and the founders of the other share an address; the machine there would have to be founded and unfounded in
 * one life, or to have been wiped and still be allowed to found.
 */
const isAgreed = (seeds: readonly SeedView[], offer: string): boolean => {
  const founders = seeds.filter((seed) => seed.founds);
  return founders.length * 2 > seeds.length && founders.every((seed) => seed.offer === offer);
};

/**
 * A core is founded once, when all seeds that may found have bound themselves to the same members while all were empty.
 * A seed that has founded it already still shows its offer, or the slower ones could never follow.
 */
const evaluateBootstrap = (replica: Replica, chance: number): ControlStep => {
  if (isBootstrapped(replica) || !replica.founds || !replica.seeds.includes(replica.address)) return stepOf(replica);
  const seenSeeds = seenSeedsOf(replica);
  if (seenSeeds.length < replica.seeds.length || seenSeeds.some((seed) => seed.founded)) return stepOf(replica);
  const offer = offerOf(seenSeeds);
  if (replica.offer === offer) return isAgreed(seenSeeds, offer) ? founded(replica, offer, chance) : stepOf(replica);
  if (!mayReplaceProposal(replica, seenSeeds)) return stepOf(replica);
  const offeredStep = stepOf({ ...replica, offer }, { type: 'persist', record: { type: 'offer', offer } });
  return andThen(offeredStep, (offeredReplica) => evaluateBootstrap(offeredReplica, chance));
};

/**
 * A seed that is bound already may bind itself anew only while a majority of those it was bound with is seen empty and
 * unfounded: then nothing can have been taken by a core of that binding, and nothing ever will be.
 */
const mayReplaceProposal = (replica: Replica, seenSeeds: readonly SeedView[]): boolean => {
  if (replica.offer === undefined) return true;
  const boundMembers = parseBootstrapProposal(replica.offer);
  const emptyMembers = boundMembers.filter((member) => seenSeeds.some((seed) => seed.identity === member.identity));
  return emptyMembers.length * 2 > boundMembers.length;
};

/** Looks for a core, or for those to found it with; a sole seed waits for nobody. */
export const tryBootstrap = (replica: Replica, chance: number): ControlStep =>
  andThen(evaluateBootstrap(replica, chance), (evaluatedReplica) => probeSeeds(evaluatedReplica, chance));

const namesIdentity = (offer: string, identity: string): boolean =>
  parseBootstrapProposal(offer).some((member) => member.identity === identity);

/**
 * Follows a founder that names this machine. A binding is a promise: a core of another binding is followed only on the
 * word of a machine that the own binding names, since that one has never bound itself to the own binding and never will.
 */
const adoptBootstrap = (replica: Replica, message: Probe, chance: number): ControlStep => {
  const { offer } = message;
  const isPromisedElsewhere =
    replica.offer !== undefined && replica.offer !== offer && !namesIdentity(replica.offer, message.identity);
  return !isBootstrapped(replica) &&
    message.founded &&
    offer !== undefined &&
    !isPromisedElsewhere &&
    namesIdentity(offer, replica.identity)
    ? founded(replica, offer, chance)
    : evaluateBootstrap(replica, chance);
};

/**
 * Whether an append would bring an unfounded machine into a core that it has promised not to follow: one that has
 * committed nothing, led by a machine that the own binding does not name.
 */
export const isOfRefusedCore = (replica: Replica, from: string, leaderCommit: number): boolean =>
  !isBootstrapped(replica) && replica.offer !== undefined && leaderCommit === 0 && !namesIdentity(replica.offer, from);

/**
 * Takes note of what a seed replied. Only the first reply to the newest question counts: so the lives that are seen at
 * one address never go back, and neither do the bindings that are made of them.
 */
const noteReply = (replica: Replica, message: Probe): Replica => {
  const { identity, address, offer, founded: isFounded, founds, nonce } = message;
  const isCounted =
    message.type === 'probeReply' && nonce === replica.probeNonce && replica.probes.get(address)?.nonce !== nonce;
  const probe: SeedProbe = { identity, offer, founded: isFounded, founds, nonce };
  return isCounted ? { ...replica, probes: withEntry(replica.probes, address, probe) } : replica;
};

const askToJoin = (replica: Replica, address: string): ControlStep =>
  stepOf(replica, {
    type: 'sendTo',
    address,
    message: { type: 'join', identity: replica.identity, address: replica.address },
  });

/**
 * The binding that a machine shows. Once it is in a core that is the one the core was founded by, which need not be the
 * last that it bound itself to; a core whose founding entry is folded away is joined, not followed from its start.
 */
const announcedOfferOf = (replica: Replica): string | undefined => {
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
      offer: announcedOfferOf(replica),
      nonce,
    },
  });

/** Takes note of another seed: founds or follows a core with it, asks to join the one that it is in, and replies. */
export const onProbe = (replica: Replica, message: Probe, chance: number): ControlStep => {
  const adoptedStep = adoptBootstrap(noteReply(replica, message), message, chance);
  const joinedStep = andThen(adoptedStep, (adoptedReplica) =>
    message.founded && !isBootstrapped(adoptedReplica)
      ? askToJoin(adoptedReplica, message.address)
      : stepOf(adoptedReplica),
  );
  return message.type === 'probeReply'
    ? joinedStep
    : andThen(joinedStep, (joinedReplica) => replyToProbe(joinedReplica, message));
};
