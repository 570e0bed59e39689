import type { ControlEvent } from './control-event.js';
import { andThen, stepped, type ControlStep } from './control-step.js';
import type { ControlView } from './control-view.js';
import { felt, onPreVote, onPreVoteBack, onVote, onVoteBack, stood } from './electing.js';
import { onAppend, onInstall } from './following.js';
import { onHello, soughtLeader, soughtSeeds } from './founding.js';
import { onAppendBack, onJoin, onLeaderTick, onRead } from './leading.js';
import { isVoter, votersOf } from './log-reading.js';
import type { ControlMessage } from './message.js';
import { appended } from './replicating.js';
import { followed } from './roles.js';
import { electionSpanUs, rejoinSpanUs } from './timing.js';

const onTick = (view: ControlView, chance: number): ControlStep => {
  if (view.role === 'leader') return onLeaderTick(view, chance);
  if (view.role === 'unfounded') return view.atUs >= view.heartbeatUs ? soughtSeeds(view, chance) : stepped(view);
  const isLost = view.atUs > view.heardLeaderUs + rejoinSpanUs && view.atUs >= view.heartbeatUs;
  const sought = isLost ? soughtLeader(view) : stepped(view);
  return view.atUs >= view.electionUs ? andThen(sought, (soughtView) => felt(soughtView, chance)) : sought;
};

const carriesTerm = (message: ControlMessage): message is Extract<ControlMessage, { readonly term: number }> =>
  message.type !== 'hello' && message.type !== 'helloBack' && message.type !== 'join';

const onMessage = (view: ControlView, from: string, message: ControlMessage, chance: number): ControlStep => {
  switch (message.type) {
    case 'hello':
    case 'helloBack':
      return onHello(view, message, chance);
    case 'join':
      return onJoin(view, message);
    case 'preVote':
      return onPreVote(view, from, message);
    case 'preVoteBack':
      return onPreVoteBack(view, from, message, chance);
    case 'vote':
      return onVote(view, from, message, chance);
    case 'voteBack':
      return onVoteBack(view, from, message);
    case 'append':
      return onAppend(view, from, message, chance);
    case 'appendBack':
      return onAppendBack(view, from, message);
    case 'install':
      return onInstall(view, from, message, chance);
    case 'takeOver':
      return message.term === view.term && isVoter(view, view.identity) && view.role !== 'leader'
        ? stood(view, chance)
        : stepped(view);
  }
};

const onTermed = (view: ControlView, from: string, message: ControlMessage, chance: number): ControlStep => {
  const isAhead =
    carriesTerm(message) && message.type !== 'preVote' && message.type !== 'preVoteBack' && message.term > view.term;
  return isAhead && carriesTerm(message)
    ? andThen(followed(view, message.term, undefined, chance), (followedView) =>
        onMessage(followedView, from, message, chance),
      )
    : onMessage(view, from, message, chance);
};

/** A leader that is to stop hands its place to the voter that has most. */
const onResign = (view: ControlView, chance: number): ControlStep => {
  if (view.role !== 'leader') return stepped(view);
  const heir = votersOf(view)
    .filter((voter) => voter.identity !== view.identity)
    .sort(
      (left, right) => (view.progress.get(right.identity)?.match ?? 0) - (view.progress.get(left.identity)?.match ?? 0),
    )[0];
  if (heir === undefined) return stepped(view);
  const resigned = followed({ ...view, heardLeaderUs: view.atUs }, view.term, undefined, chance);
  return andThen(resigned, (resignedView) =>
    stepped(
      { ...resignedView, electionUs: view.atUs + electionSpanUs * 4 },
      { type: 'send', to: heir.identity, message: { type: 'takeOver', term: view.term } },
    ),
  );
};

/** One core machine: an event in, a new view and effects out; no clock, no chance, no I/O of its own. */
export const stepControl = (view: ControlView, event: ControlEvent): ControlStep => {
  const nowView: ControlView = { ...view, atUs: Math.max(view.atUs, event.at) };
  switch (event.type) {
    case 'tick':
      return onTick(nowView, event.chance);
    case 'message':
      return onTermed(nowView, event.from, event.message, event.chance);
    case 'propose':
      return nowView.role === 'leader'
        ? appended(nowView, event.command, event.ask)
        : stepped(nowView, {
            type: 'receipt',
            ask: event.ask,
            receipt: { type: 'not-leader', leader: nowView.leader },
          });
    case 'read':
      return onRead(nowView, event.ask, event.proposal);
    case 'known':
      return stepped({ ...nowView, known: [...new Set([...event.seeds, ...event.addresses])] });
    case 'resign':
      return onResign(nowView, event.chance);
  }
};
