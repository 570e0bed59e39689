import { withEntry } from '../../common/maps.js';
import type { Micros } from '../../common/micros.js';
import { positionOf } from '../../decision/ring/position.js';
import type { Original } from '../../setup/document/original.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { WarmupEpoch } from '../../setup/document/warmup-epoch.js';
import type { Command } from '../log/command.js';
import type { Claim } from './claim.js';
import type { ReplicatedState } from './replicated-state.js';
import type { Outcome } from './outcome.js';
import type { ProposalOutcome } from './proposal-outcome.js';

export const claimKeepUs: Micros = 900_000_000;
export const mostClaims = 100_000;
const maxProposals = 512;
const maxEpochs = 256;
/** No booking is longer; figures that were replaced so long ago price nothing any more. */
const longestBookingUs: Micros = 3_600_000_000;
const bucketCount = 512;

/** The state after a command, and what it came to. */
export type Applied = {
  readonly state: ReplicatedState;
  readonly outcome: Outcome;
};

const epochsAfter = (former: SetupRecord | undefined, epoch: WarmupEpoch): readonly WarmupEpoch[] => {
  const formerEpochs = former?.epochs ?? [];
  const newestEpoch = formerEpochs[formerEpochs.length - 1];
  return newestEpoch !== undefined && JSON.stringify(newestEpoch.warmup) === JSON.stringify(epoch.warmup)
    ? formerEpochs
    : [
        ...formerEpochs.filter(
          (_, place) => (formerEpochs[place + 1] ?? epoch).sinceUs > epoch.sinceUs - longestBookingUs,
        ),
        epoch,
      ].slice(-maxEpochs);
};

const withProposal = (state: ReplicatedState, proposal: string, outcome: ProposalOutcome): Applied => {
  const proposals = new Map([...state.proposals].slice(-(maxProposals - 1)));
  proposals.set(proposal, outcome);
  return { state: { ...state, proposals }, outcome: { type: 'proposal', outcome } };
};

type SetupCommand = Extract<Command, { readonly type: 'setup' }>;

const withTaken = (state: ReplicatedState, command: SetupCommand): Applied => {
  const record: SetupRecord = {
    revision: (state.record?.revision ?? 0) + 1,
    takenAtUs: state.clockUs,
    setup: command.setup,
    ...(command.original === undefined ? {} : { original: command.original }),
    epochs: epochsAfter(state.record, { sinceUs: state.clockUs, warmup: command.setup.warmup }),
  };
  return withProposal({ ...state, record }, command.proposal, { type: 'taken', revision: record.revision });
};

const applySetup = (state: ReplicatedState, command: SetupCommand): Applied => {
  if (command.original !== undefined) return applyOriginal(state, command, command.original);
  const knownOutcome = state.proposals.get(command.proposal);
  if (knownOutcome !== undefined) return { state, outcome: { type: 'proposal', outcome: knownOutcome } };
  const newestRevision = state.record?.revision ?? 0;
  if (command.expected !== newestRevision)
    return withProposal(state, command.proposal, { type: 'lost-race', revision: newestRevision });
  return withTaken(state, command);
};

/**
 * The race of operators' own documents, by their own versions. What was taken once is taken whenever it is sent again; a
 * lost race is not remembered, since the same document may be put on top of the right version later.
 */
const applyOriginal = (state: ReplicatedState, command: SetupCommand, original: Original): Applied => {
  const newestRevision = state.record?.revision ?? 0;
  const inForce = state.record?.original;
  const told = (outcome: ProposalOutcome): Applied => ({ state, outcome: { type: 'proposal', outcome } });
  if (inForce !== undefined && inForce.version === original.version && inForce.text === original.text)
    return told({ type: 'taken', revision: newestRevision });
  const knownOutcome = state.proposals.get(command.proposal);
  if (knownOutcome !== undefined) return told(knownOutcome);
  const newestVersion = inForce?.version ?? 0;
  return command.expected === newestVersion && original.version > newestVersion
    ? withTaken(state, command)
    : told({ type: 'lost-race', revision: newestRevision });
};

const applyVoid = (state: ReplicatedState, proposal: string): Applied => {
  const knownOutcome = state.proposals.get(proposal);
  return knownOutcome === undefined
    ? withProposal(state, proposal, { type: 'void', revision: state.record?.revision ?? 0 })
    : { state, outcome: { type: 'proposal', outcome: knownOutcome } };
};

/**
 * A core that has lost everything takes up what nodes hold. What operators have put into it since is newer in time, so
 * it stays, and goes on above what nodes hold, or they would never take it.
 */
const applyRestore = (state: ReplicatedState, { record }: Extract<Command, { readonly type: 'restore' }>): Applied => {
  const own = state.record;
  if (own !== undefined && own.revision >= record.revision) return { state, outcome: { type: 'done' } };
  const restored = own === undefined ? record : { ...own, revision: record.revision + 1 };
  return {
    state: { ...state, clockUs: Math.max(state.clockUs, record.takenAtUs), record: restored },
    outcome: { type: 'done' },
  };
};

const bucketOf = (key: string): number => positionOf(key) % bucketCount;

const withBucket = (state: ReplicatedState, shelf: number, claims: ReadonlyMap<string, Claim>): ReplicatedState => ({
  ...state,
  buckets: withEntry(state.buckets, shelf, claims),
  claimCount: state.claimCount + claims.size - (state.buckets.get(shelf)?.size ?? 0),
});

const freshClaims = (state: ReplicatedState, shelf: number): ReadonlyMap<string, Claim> =>
  new Map([...(state.buckets.get(shelf) ?? [])].filter(([, claim]) => claim.atUs + claimKeepUs > state.clockUs));

const applyClaim = (state: ReplicatedState, command: Extract<Command, { readonly type: 'claim' }>): Applied => {
  const shelf = bucketOf(command.key);
  const claims = freshClaims(state, shelf);
  const heldClaim = claims.get(command.key);
  if (heldClaim !== undefined)
    return {
      state: withBucket(state, shelf, claims),
      outcome: { type: 'claimed', won: heldClaim.exchange === command.exchange, holder: heldClaim.exchange },
    };
  if (state.claimCount >= mostClaims)
    return { state: withBucket(state, shelf, claims), outcome: { type: 'claims-full' } };
  return {
    state: withBucket(
      state,
      shelf,
      withEntry(claims, command.key, { exchange: command.exchange, atUs: state.clockUs }),
    ),
    outcome: { type: 'claimed', won: true, holder: command.exchange },
  };
};

const applyRelease = (state: ReplicatedState, command: Extract<Command, { readonly type: 'release' }>): Applied => {
  const shelf = bucketOf(command.key);
  const keptClaims = new Map(
    [...freshClaims(state, shelf)].filter(([key, claim]) => key !== command.key || claim.exchange !== command.exchange),
  );
  return { state: withBucket(state, shelf, keptClaims), outcome: { type: 'done' } };
};

/** Applies one command; it pendingRequests nothing but the state, so all core machines come to the same. */
export const applyCommand = (state: ReplicatedState, command: Command): Applied => {
  switch (command.type) {
    case 'start-term':
    case 'members':
      return { state, outcome: { type: 'done' } };
    case 'setup':
      return applySetup({ ...state, clockUs: Math.max(state.clockUs, command.atUs) }, command);
    case 'void':
      return applyVoid(state, command.proposal);
    case 'restore':
      return applyRestore(state, command);
    case 'claim':
      return applyClaim({ ...state, clockUs: Math.max(state.clockUs, command.atUs) }, command);
    case 'release':
      return applyRelease({ ...state, clockUs: Math.max(state.clockUs, command.atUs) }, command);
  }
};
