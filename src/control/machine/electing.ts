import type { ControlMessage } from './message.js';
import { andThen, stepped, type ControlStep } from './control-step.js';
import type { ControlView } from './control-view.js';
import { isVoter, lastIndexOf, lastTermOf, votersOf } from './log-reading.js';
import { appended, newProgress, othersOf } from './replicating.js';
import { electionMoment, followed, withRole } from './roles.js';
import { electionSpanUs, heartbeatSpanUs } from './timing.js';

const isMajority = (view: ControlView, votes: ReadonlySet<string>): boolean => {
  const voters = votersOf(view);
  return voters.filter((voter) => votes.has(voter.identity)).length * 2 > voters.length;
};

const asked = (view: ControlView, type: 'preVote' | 'vote', term: number): ControlStep =>
  stepped(
    view,
    ...votersOf(view)
      .filter((voter) => voter.identity !== view.identity)
      .map((voter) => ({
        type: 'send' as const,
        to: voter.identity,
        message: { type, term, lastIndex: lastIndexOf(view), lastTerm: lastTermOf(view) },
      })),
  );

const lead = (view: ControlView): ControlStep => {
  const leadingStep = withRole(view, {
    role: 'leader',
    leader: view.identity,
    leadsSinceUs: view.atUs,
    heartbeatUs: view.atUs + heartbeatSpanUs,
    progress: new Map(othersOf(view).map((identity) => [identity, newProgress(view)])),
    reads: [],
    asks: new Map(),
  });
  return andThen(leadingStep, (leadingView) => appended(leadingView, { type: 'start-term' }, undefined));
};

/** Stands for election in a new term, of which the vote for itself is kept first. */
export const stood = (view: ControlView, chance: number): ControlStep => {
  const term = view.term + 1;
  const standing = withRole(
    { ...view, term, votedFor: view.identity },
    { role: 'candidate', leader: undefined, votes: new Set([view.identity]), electionUs: electionMoment(view, chance) },
  );
  const kept: ControlStep = {
    view: standing.view,
    effects: [{ type: 'keep', record: { type: 'vote', term, votedFor: view.identity } }, ...standing.effects],
  };
  return andThen(kept, (standingView) =>
    isMajority(standingView, standingView.votes) ? lead(standingView) : asked(standingView, 'vote', term),
  );
};

/** Asks first whether an election could be won, which disturbs nobody. */
export const felt = (view: ControlView, chance: number): ControlStep => {
  if (!isVoter(view, view.identity)) return stepped({ ...view, electionUs: electionMoment(view, chance) });
  const feeling = withRole(view, {
    role: 'pre-candidate',
    leader: undefined,
    votes: new Set([view.identity]),
    electionUs: electionMoment(view, chance),
  });
  return andThen(feeling, (feelingView) =>
    isMajority(feelingView, feelingView.votes)
      ? stood(feelingView, chance)
      : asked(feelingView, 'preVote', feelingView.term + 1),
  );
};

const isUpToDate = (view: ControlView, lastIndex: number, lastTerm: number): boolean =>
  lastTerm > lastTermOf(view) || (lastTerm === lastTermOf(view) && lastIndex >= lastIndexOf(view));

export const onPreVote = (
  view: ControlView,
  from: string,
  message: Extract<ControlMessage, { readonly type: 'preVote' }>,
): ControlStep => {
  const hearsLeader = view.role === 'leader' || view.atUs < view.heardLeaderUs + electionSpanUs;
  const granted =
    isVoter(view, view.identity) &&
    !hearsLeader &&
    message.term > view.term &&
    isUpToDate(view, message.lastIndex, message.lastTerm);
  return stepped(view, {
    type: 'send',
    to: from,
    message: { type: 'preVoteBack', term: view.term, granted, forTerm: message.term },
  });
};

export const onPreVoteBack = (
  view: ControlView,
  from: string,
  message: Extract<ControlMessage, { readonly type: 'preVoteBack' }>,
  chance: number,
): ControlStep => {
  if (message.term > view.term) return followed(view, message.term, undefined, chance);
  if (view.role !== 'pre-candidate' || !message.granted || message.forTerm !== view.term + 1) return stepped(view);
  const votes = new Set([...view.votes, from]);
  return isMajority(view, votes) ? stood(view, chance) : stepped({ ...view, votes });
};

export const onVote = (
  view: ControlView,
  from: string,
  message: Extract<ControlMessage, { readonly type: 'vote' }>,
  chance: number,
): ControlStep => {
  const isFree = view.votedFor === undefined || view.votedFor === from;
  const granted =
    message.term === view.term &&
    isVoter(view, view.identity) &&
    isFree &&
    isUpToDate(view, message.lastIndex, message.lastTerm);
  const reply = { type: 'send' as const, to: from, message: { type: 'voteBack' as const, term: view.term, granted } };
  return granted
    ? stepped(
        { ...view, votedFor: from, electionUs: electionMoment(view, chance) },
        { type: 'keep', record: { type: 'vote', term: view.term, votedFor: from } },
        reply,
      )
    : stepped(view, reply);
};

export const onVoteBack = (
  view: ControlView,
  from: string,
  message: Extract<ControlMessage, { readonly type: 'voteBack' }>,
): ControlStep => {
  if (view.role !== 'candidate' || !message.granted || message.term !== view.term) return stepped(view);
  const votes = new Set([...view.votes, from]);
  const votedView = { ...view, votes };
  return isMajority(view, votes) ? lead(votedView) : stepped(votedView);
};
