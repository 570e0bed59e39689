import { withEntry } from '../../common/maps.js';
import type { Member } from '../members/member.js';
import { leaderCommitted } from './committing.js';
import { andThen, stepped, type ControlStep } from './control-step.js';
import type { ControlView } from './control-view.js';
import { hasOpenChange, lastIndexOf, membersOf, termAt, votersOf } from './log-reading.js';
import type { ControlMessage } from './message.js';
import { appended, newProgress, readsAnswered, sentAppend, sentToAll } from './replicating.js';
import { followed } from './roles.js';
import { deadSpanUs, electionSpanUs, forgottenLearnerUs, heartbeatSpanUs } from './timing.js';

type AppendBack = Extract<ControlMessage, { readonly type: 'appendBack' }>;

export const onAppendBack = (view: ControlView, from: string, message: AppendBack): ControlStep => {
  const progress = view.progress.get(from);
  if (view.role !== 'leader' || progress === undefined || message.term !== view.term) return stepped(view);
  const heardProgress = {
    ...progress,
    heardUs: view.atUs,
    heardRound: Math.max(progress.heardRound, message.round),
    pausedUntilUs: 0,
  };
  const match = message.matches ? Math.max(progress.match, message.index) : progress.match;
  const next = message.matches
    ? Math.max(match + 1, progress.match + 1)
    : Math.max(progress.match + 1, Math.min(progress.next - 1, message.index + 1));
  const hasMoved = match !== progress.match || next !== progress.next;
  const heardView = { ...view, progress: withEntry(view.progress, from, { ...heardProgress, match, next }) };
  return andThen(andThen(leaderCommitted(heardView), readsAnswered), (answeredView) =>
    answeredView.role === 'leader' && hasMoved && next <= lastIndexOf(answeredView)
      ? sentAppend(answeredView, from)
      : stepped(answeredView),
  );
};

export const onRead = (view: ControlView, ask: string, proposal: string | undefined): ControlStep => {
  if (view.role !== 'leader')
    return stepped(view, { type: 'receipt', ask, receipt: { type: 'not-leader', leader: view.leader } });
  const round = view.round + 1;
  const askedView = { ...view, round, reads: [...view.reads, { ask, proposal, round, index: view.commit }] };
  return andThen(sentToAll(askedView), readsAnswered);
};

const changed = (view: ControlView, members: readonly Member[]): ControlStep => {
  const progress = new Map(
    members
      .filter((member) => member.identity !== view.identity)
      .map((member) => [member.identity, view.progress.get(member.identity) ?? newProgress(view)] as const),
  );
  return appended({ ...view, progress }, { type: 'members', members }, undefined);
};

export const mayChange = (view: ControlView): boolean =>
  view.role === 'leader' && !hasOpenChange(view) && termAt(view, view.commit) === view.term;

export const onJoin = (view: ControlView, message: Extract<ControlMessage, { readonly type: 'join' }>): ControlStep => {
  if (view.role !== 'leader')
    return view.leader === undefined || view.leader === view.identity
      ? stepped(view)
      : stepped(view, { type: 'send', to: view.leader, message });
  const members = membersOf(view);
  const knownMember = members.find((member) => member.identity === message.identity);
  if (!mayChange(view) || knownMember?.address === message.address || message.address === view.address)
    return stepped(view);
  const joined: Member = { identity: message.identity, address: message.address, voter: knownMember?.voter ?? false };
  /** An identity lives and dies with its disk: whoever was at this address before is dead, however lately it was heard. */
  const livingMembers = members.filter(
    (member) => member.identity !== message.identity && member.address !== message.address,
  );
  return changed(view, [...livingMembers, joined]);
};

/** A leader's care for the members: one safe change at a time, and never two voters in one entry. */
const tended = (view: ControlView): ControlStep => {
  if (!mayChange(view)) return stepped(view);
  const members = membersOf(view);
  const heardUsOf = (member: Member): number => view.progress.get(member.identity)?.heardUs ?? view.atUs;
  const readyLearner = members.find(
    (member) =>
      !member.voter &&
      (view.progress.get(member.identity)?.match ?? 0) >= view.commit &&
      view.atUs - heardUsOf(member) < electionSpanUs,
  );
  const deadVoter = members.find(
    (member) => member.voter && member.identity !== view.identity && view.atUs - heardUsOf(member) > deadSpanUs,
  );
  const forgottenLearner = members.find(
    (member) => !member.voter && view.atUs - heardUsOf(member) > forgottenLearnerUs,
  );
  if (readyLearner !== undefined && votersOf(view).length < view.votersWanted)
    return changed(
      view,
      members.map((member) => (member === readyLearner ? { ...member, voter: true } : member)),
    );
  if (readyLearner !== undefined && deadVoter !== undefined)
    return changed(
      view,
      members.filter((member) => member !== deadVoter),
    );
  return forgottenLearner === undefined
    ? stepped(view)
    : changed(
        view,
        members.filter((member) => member !== forgottenLearner),
      );
};

export const onLeaderTick = (view: ControlView, chance: number): ControlStep => {
  const voters = votersOf(view);
  const heardVoters = voters.filter(
    (voter) =>
      voter.identity === view.identity ||
      view.atUs - (view.progress.get(voter.identity)?.heardUs ?? 0) < electionSpanUs * 2,
  );
  if (heardVoters.length * 2 <= voters.length) return followed(view, view.term, undefined, chance);
  if (view.atUs < view.heartbeatUs) return stepped(view);
  const beatView = { ...view, round: view.round + 1, heartbeatUs: view.atUs + heartbeatSpanUs };
  return andThen(andThen(sentToAll(beatView), tended), readsAnswered);
};
