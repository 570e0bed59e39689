import { longestStepUs, withoutSpan } from '../../common/clock/time-bound.js';
import { emptyMap } from '../../common/persistent-map.js';
import { withDelta, withRecord } from './configuration.js';
import { digestTo } from './digest.js';
import { withBeat, withProbes, withUnease } from './heartbeat.js';
import { caughtUp, onDigest, withInquiries } from './inquiry.js';
import { withList } from './list-dissemination.js';
import { withoutOverdue } from './membership.js';
import { withReading } from './reading.js';
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
      return andThen(stepped(view, ...caughtUp(view, from, frame)), (givenView) =>
        digestTo(givenView, from, { inquiry: frame.inquiry }),
      );
    case 'setup':
      return withRecord(view, frame.record, from);
    case 'setup-delta':
      return withDelta(view, frame.delta, from);
    case 'list':
      return withList(view, frame.list, from);
  }
};

const onHeard = (view: SpreadView, from: string): SpreadStep => {
  const known = view.partners.get(from);
  const heardView: SpreadView = {
    ...view,
    heardUs: view.atUs,
    awaited: view.awaited.delete(from),
    partners: known === undefined ? view.partners : view.partners.set(from, { ...known, heardUs: view.atUs }),
  };
  return view.isolated
    ? stepped({ ...heardView, isolated: false }, { type: 'isolated', isolated: false })
    : stepped(heardView);
};

const onTick = (view: SpreadView): SpreadStep => {
  const becomesIsolated = !view.isolated && view.atUs > view.heardUs + isolatedSpanUs;
  const checkedStep = becomesIsolated
    ? stepped({ ...view, isolated: true }, { type: 'isolated' as const, isolated: true })
    : stepped(view);
  const asksAgain = view.refreshing && view.atUs >= view.askedAgainUs;
  return [withoutOverdue, withProbes, withUnease, withBeat].reduce<SpreadStep>(
    andThen,
    asksAgain
      ? andThen(checkedStep, (askingView) => withInquiries({ ...askingView, askedAgainUs: view.atUs + digestSpanUs }))
      : checkedStep,
  );
};

const onEvent = (nowView: SpreadView, event: SpreadEvent): SpreadStep => {
  switch (event.type) {
    case 'tick':
      return onTick(nowView);
    case 'frame':
      return andThen(onHeard(nowView, event.from), (heardView) => onFrame(heardView, event.from, event.frame));
    case 'setup':
      return withRecord(nowView, event.record);
    case 'list':
      return withList(nowView, event.list);
    case 'seeds':
      return stepped({ ...nowView, seeds: event.seeds });
    case 'reading':
      return withReading(nowView, event.reading, event.begunAt);
    case 'refresh': {
      return withInquiries({
        ...nowView,
        inquiry: nowView.inquiry + 1,
        refreshing: true,
        askedAgainUs: nowView.atUs + digestSpanUs,
      });
    }
  }
};

/** Of several changes of membership in one step only the last is told. */
const lastOfEach = (effects: readonly SpreadEffect[]): readonly SpreadEffect[] => {
  const lastPartners = effects.findLastIndex(({ type }) => type === 'partners');
  const lastRouters = effects.findLastIndex(({ type }) => type === 'routers');
  return effects.filter(
    ({ type }, place) =>
      (type !== 'partners' || place === lastPartners) && (type !== 'routers' || place === lastRouters),
  );
};

/** The spread machine: setup by revision and list by version, or by merging, go to everyone, and never backwards. */
export const stepSpread = (view: SpreadView, event: SpreadEvent): SpreadStep => {
  const spanUs = event.at - view.atUs;
  const nowView: SpreadView = {
    ...view,
    atUs: Math.max(view.atUs, event.at),
    platform: spanUs >= longestStepUs ? withoutSpan(view.platform, spanUs) : view.platform,
    /** Who did not run can not tell who owed it a sign. */
    awaited: spanUs >= longestStepUs ? emptyMap() : view.awaited,
  };
  const step = onEvent(nowView, event);
  return step.effects.length < 2 ? step : { view: step.view, effects: lastOfEach(step.effects) };
};
