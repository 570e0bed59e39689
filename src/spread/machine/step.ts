import { longestStepUs, withoutSpan } from '../../common/clock/time-bound.js';
import { emptyMap } from '../../common/persistent-map.js';
import { withDelta, withRecord } from './configuration.js';
import { digestTo } from './digest.js';
import { withBeat, withProbes, withUnease } from './heartbeat.js';
import { caughtUp, onDigest, withInquiries } from './inquiry.js';
import { withList } from './list-dissemination.js';
import { withoutOverdue } from './membership.js';
import { onReading } from './reading.js';
import type { SpreadEffect } from './spread-effect.js';
import type { SpreadEvent, SpreadFrame } from './spread-event.js';
import type { SpreadStep } from './spread-step.js';
import { andThen, stepped } from './spread-step.js';
import type { SpreadView } from './spread-view.js';
import { digestSpanUs, isolatedSpanUs } from './timing.js';

const onFrame = (view: SpreadView, from: string, frame: SpreadFrame): SpreadStep => {
  switch (frame.type) {
    case 'digest':
      return onDigest(view, from, frame);
    case 'inquire':
      return andThen(stepped(view, ...caughtUp(view, from, frame)), (next) =>
        digestTo(next, from, { inquiry: frame.inquiry }),
      );
    case 'setup':
      return withRecord(view, frame.record, from);
    case 'setup-delta':
      return withDelta(view, frame.delta, from);
    case 'list':
      return withList(view, frame.list, from);
  }
};

/** Records that a peer is reachable: its probe is answered, and this process is not isolated. */
const onContact = (view: SpreadView, from: string): SpreadStep => {
  const known = view.partners.get(from);
  const contactView: SpreadView = {
    ...view,
    lastContactUs: view.atUs,
    pendingProbes: view.pendingProbes.delete(from),
    partners: known === undefined ? view.partners : view.partners.set(from, { ...known, heardUs: view.atUs }),
  };
  return view.isolated
    ? stepped({ ...contactView, isolated: false }, { type: 'isolated', isolated: false })
    : stepped(contactView);
};

const onTick = (view: SpreadView): SpreadStep => {
  const losesContact = !view.isolated && view.atUs > view.lastContactUs + isolatedSpanUs;
  const checkedStep = losesContact
    ? stepped({ ...view, isolated: true }, { type: 'isolated' as const, isolated: true })
    : stepped(view);
  const isInquiryDue = view.refreshing && view.atUs >= view.nextInquiryUs;
  return [withoutOverdue, withProbes, withUnease, withBeat].reduce<SpreadStep>(
    andThen,
    isInquiryDue
      ? andThen(checkedStep, (next) => withInquiries({ ...next, nextInquiryUs: view.atUs + digestSpanUs }))
      : checkedStep,
  );
};

const onEvent = (nowView: SpreadView, event: SpreadEvent): SpreadStep => {
  switch (event.type) {
    case 'tick':
      return onTick(nowView);
    case 'frame':
      return andThen(onContact(nowView, event.from), (contactView) => onFrame(contactView, event.from, event.frame));
    case 'setup':
      return withRecord(nowView, event.record);
    case 'list':
      return withList(nowView, event.list);
    case 'seeds':
      return stepped({ ...nowView, seeds: event.seeds });
    case 'reading':
      return onReading(nowView, event.reading, event.begunAt);
    case 'refresh': {
      return withInquiries({
        ...nowView,
        inquiry: nowView.inquiry + 1,
        refreshing: true,
        nextInquiryUs: nowView.atUs + digestSpanUs,
      });
    }
  }
};

/** Drops all but the last of several membership effects in one step. */
const withoutSuperseded = (effects: readonly SpreadEffect[]): readonly SpreadEffect[] => {
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
export const stepSpread = (view: SpreadView, event: SpreadEvent): SpreadStep => {
  const spanUs = event.at - view.atUs;
  const nowView: SpreadView = {
    ...view,
    atUs: Math.max(view.atUs, event.at),
    platform: spanUs >= longestStepUs ? withoutSpan(view.platform, spanUs) : view.platform,
    /** After a gap in its own execution this process cannot judge which responses are late. */
    pendingProbes: spanUs >= longestStepUs ? emptyMap() : view.pendingProbes,
  };
  const step = onEvent(nowView, event);
  return step.effects.length < 2 ? step : { view: step.view, effects: withoutSuperseded(step.effects) };
};
