import { maxClockStepUs, withoutElapsed } from '../../common/clock/time-bound.js';
import { emptyMap } from '../../common/persistent-map.js';
import { applyDelta, adoptRecord } from './configuration.js';
import { sendDigest } from './digest.js';
import { sendDueHeartbeat, repeatProbes, pullIfStale } from './heartbeat.js';
import { catchUpEffects, onDigest, sendInquiries } from './inquiry.js';
import { adoptList } from './list-dissemination.js';
import { expirePeers } from './membership.js';
import { onReading } from './reading.js';
import type { GossipEffect } from './gossip-effect.js';
import type { GossipEvent, GossipFrame } from './gossip-event.js';
import type { GossipStep } from './gossip-step.js';
import { andThen, withEffects } from './gossip-step.js';
import type { GossipView } from './gossip-view.js';
import { heartbeatIntervalUs, isolationTimeoutUs } from './timing.js';

const onFrame = (view: GossipView, from: string, frame: GossipFrame): GossipStep => {
  switch (frame.type) {
    case 'digest':
      return onDigest(view, from, frame);
    case 'inquire':
      return andThen(withEffects(view, ...catchUpEffects(view, from, frame)), (next) =>
        sendDigest(next, from, { inquiry: frame.inquiry }),
      );
    case 'setup':
      return adoptRecord(view, frame.record, from);
    case 'setup-delta':
      return applyDelta(view, frame.delta, from);
    case 'list':
      return adoptList(view, frame.list, from);
  }
};

/** Records that a peer is reachable: its probe is answered, and this process is not isolated. */
const onContact = (view: GossipView, from: string): GossipStep => {
  const known = view.partners.get(from);
  const contactView: GossipView = {
    ...view,
    lastContactUs: view.atUs,
    pendingProbes: view.pendingProbes.delete(from),
    partners: known === undefined ? view.partners : view.partners.set(from, { ...known, heardUs: view.atUs }),
  };
  return view.isolated
    ? withEffects({ ...contactView, isolated: false }, { type: 'isolated', isolated: false })
    : withEffects(contactView);
};

const onTick = (view: GossipView): GossipStep => {
  const losesContact = !view.isolated && view.atUs > view.lastContactUs + isolationTimeoutUs;
  const checkedStep = losesContact
    ? withEffects({ ...view, isolated: true }, { type: 'isolated' as const, isolated: true })
    : withEffects(view);
  const isInquiryDue = view.refreshing && view.atUs >= view.nextInquiryUs;
  return [expirePeers, repeatProbes, pullIfStale, sendDueHeartbeat].reduce<GossipStep>(
    andThen,
    isInquiryDue
      ? andThen(checkedStep, (next) => sendInquiries({ ...next, nextInquiryUs: view.atUs + heartbeatIntervalUs }))
      : checkedStep,
  );
};

const onEvent = (nowView: GossipView, event: GossipEvent): GossipStep => {
  switch (event.type) {
    case 'tick':
      return onTick(nowView);
    case 'frame':
      return andThen(onContact(nowView, event.from), (contactView) => onFrame(contactView, event.from, event.frame));
    case 'setup':
      return adoptRecord(nowView, event.record);
    case 'list':
      return adoptList(nowView, event.list);
    case 'seeds':
      return withEffects({ ...nowView, seeds: event.seeds });
    case 'reading':
      return onReading(nowView, event.reading, event.begunAt);
    case 'refresh': {
      return sendInquiries({
        ...nowView,
        inquiry: nowView.inquiry + 1,
        refreshing: true,
        nextInquiryUs: nowView.atUs + heartbeatIntervalUs,
      });
    }
  }
};

/** Drops all but the last of several membership effects in one step. */
const withoutSuperseded = (effects: readonly GossipEffect[]): readonly GossipEffect[] => {
  const lastPartners = effects.findLastIndex(({ type }) => type === 'partners');
  const lastRouters = effects.findLastIndex(({ type }) => type === 'routers');
  return effects.filter(
    ({ type }, index) =>
      (type !== 'partners' || index === lastPartners) && (type !== 'routers' || index === lastRouters),
  );
};

/**
 * One step of the gossip state machine, which replicates the configuration and the server list to all nodes and detects
 * dead peers as in SWIM. The configuration advances by revision; a pushed list advances by version, polled lists are
 * merged. Neither ever goes back.
 */
export const stepGossip = (view: GossipView, event: GossipEvent): GossipStep => {
  const spanUs = event.at - view.atUs;
  const nowView: GossipView = {
    ...view,
    atUs: Math.max(view.atUs, event.at),
    platform: spanUs >= maxClockStepUs ? withoutElapsed(view.platform, spanUs) : view.platform,
    /** After a gap in its own execution this process cannot judge which responses are late. */
    pendingProbes: spanUs >= maxClockStepUs ? emptyMap() : view.pendingProbes,
  };
  const step = onEvent(nowView, event);
  return step.effects.length < 2 ? step : { view: step.view, effects: withoutSuperseded(step.effects) };
};
