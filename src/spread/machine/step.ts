import { boundAt, longestStepUs, raisedBound, withoutSpan } from '../../common/clock/time-bound.js';
import { withEntry } from '../../common/maps.js';
import type { Micros } from '../../common/micros.js';
import type { ServerList } from '../../servers/list/server-list.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import type { Partner } from '../partner/partner.js';
import type { SpreadEffect } from './spread-effect.js';
import type { SpreadEvent, SpreadFrame } from './spread-event.js';
import type { SpreadView } from './spread-view.js';

/** A new view of the spread and what it wants done. */
export type SpreadStep = {
  readonly view: SpreadView;
  readonly effects: readonly SpreadEffect[];
};

export const digestSpanUs: Micros = 200_000;
export const isolatedSpanUs: Micros = 1_500_000;
export const forgottenSpanUs: Micros = 30_000_000;
/** For so long one asked partner is given before another is asked for the same news. */
export const askSpanUs: Micros = 150_000;
const digestsPerRoll = 5;

const stepped = (view: SpreadView, ...effects: readonly SpreadEffect[]): SpreadStep => ({ view, effects });

const andThen = (step: SpreadStep, next: (view: SpreadView) => SpreadStep): SpreadStep => {
  const nextStep = next(step.view);
  return { view: nextStep.view, effects: [...step.effects, ...nextStep.effects] };
};

const revisionOf = (view: SpreadView): number => view.record?.revision ?? 0;
const versionOf = (view: SpreadView): number => view.list?.version ?? 0;

const addressesOf = (view: SpreadView): readonly string[] =>
  [...new Set([...view.seeds, ...view.partners.keys()])].filter((address) => address !== view.self.address);

const toAll = (view: SpreadView, frame: SpreadFrame, except?: string): readonly SpreadEffect[] =>
  addressesOf(view)
    .filter((address) => address !== except)
    .map((address) => ({ type: 'send', address, frame }));

const withTime = (view: SpreadView, platformUs: Micros | undefined): SpreadStep => {
  if (platformUs === undefined) return stepped(view);
  const platform = raisedBound(view.platform, platformUs, view.atUs);
  return platform === view.platform ? stepped(view) : stepped({ ...view, platform }, { type: 'time', platformUs });
};

/** Makes news known here, and lets all others know that there is some; they ask for its text. */
const told = (view: SpreadView, news: SpreadEffect, from?: string): SpreadStep =>
  stepped(view, news, ...toAll(view, digestOf(view, false), from));

const withRecord = (view: SpreadView, record: SetupRecord, from?: string): SpreadStep =>
  record.revision <= revisionOf(view)
    ? stepped(view)
    : told({ ...view, record }, { type: 'setup', record }, from);

const withList = (view: SpreadView, list: ServerList, from?: string): SpreadStep =>
  list.version <= versionOf(view)
    ? stepped(view)
    : andThen(withTime({ ...view, list }, list.atUs), (timedView) =>
        told(timedView, { type: 'list', list }, from),
      );

const digestOf = (view: SpreadView, isFull: boolean, inquiry?: number): SpreadFrame => ({
  type: 'digest',
  partner: view.self,
  revision: revisionOf(view),
  version: versionOf(view),
  platformUs: view.platform === undefined ? undefined : boundAt(view.platform, view.atUs),
  partners: isFull
    ? [...view.partners.values()].map(({ partner, heardUs }) => ({ partner, ageUs: Math.max(0, view.atUs - heardUs) }))
    : [],
  inquiry,
});

const withPartner = (view: SpreadView, partner: Partner, heardUs: Micros): SpreadStep => {
  const isOwn = partner.address === view.self.address;
  const known = view.partners.get(partner.address);
  if (isOwn || heardUs <= view.atUs - forgottenSpanUs || (known !== undefined && known.heardUs >= heardUs)) return stepped(view);
  const partners = withEntry(view.partners, partner.address, { partner, heardUs });
  const isNew = known === undefined || known.partner.node !== partner.node || known.partner.http !== partner.http;
  return isNew
    ? stepped({ ...view, partners }, { type: 'partners', partners: [...partners.values()].map((entry) => entry.partner) })
    : stepped({ ...view, partners });
};

/** Gives a partner what it is known to lack. */
const caughtUp = (view: SpreadView, address: string, revision: number, version: number): readonly SpreadEffect[] => [
  ...(view.record !== undefined && revision < view.record.revision
    ? [{ type: 'send' as const, address, frame: { type: 'setup' as const, record: view.record } }]
    : []),
  ...(view.list !== undefined && version < view.list.version
    ? [{ type: 'send' as const, address, frame: { type: 'list' as const, list: view.list } }]
    : []),
];

const onDigest = (view: SpreadView, from: string, digest: Extract<SpreadFrame, { readonly type: 'digest' }>): SpreadStep => {
  const introduced = [{ partner: digest.partner, ageUs: 0 }, ...digest.partners].reduce<SpreadStep>(
    (step, { partner, ageUs }) => andThen(step, (reachedView) => withPartner(reachedView, partner, view.atUs - ageUs)),
    stepped(view),
  );
  return andThen(
    andThen(introduced, (introducedView) => withTime(introducedView, digest.platformUs)),
    (timedView) => {
      const isReceipt = timedView.refreshing && digest.inquiry === timedView.inquiry;
      const isFresh = isReceipt && digest.revision <= revisionOf(timedView) && digest.version <= versionOf(timedView);
      const { asked } = timedView;
      const isPending = timedView.atUs < asked.atUs + askSpanUs;
      const hadRevision = isPending ? Math.max(asked.revision, revisionOf(timedView)) : revisionOf(timedView);
      const hadVersion = isPending ? Math.max(asked.version, versionOf(timedView)) : versionOf(timedView);
      const lacks = digest.revision > hadRevision || digest.version > hadVersion;
      return stepped(
        {
          ...timedView,
          refreshing: timedView.refreshing && !isFresh,
          asked: lacks
            ? { atUs: timedView.atUs, revision: Math.max(digest.revision, hadRevision), version: Math.max(digest.version, hadVersion) }
            : asked,
        },
        ...(isFresh ? [{ type: 'refreshed' as const }] : []),
        ...(lacks ? [{ type: 'send' as const, address: from, frame: inquiryOf(timedView, hadRevision, hadVersion) }] : []),
      );
    },
  );
};

/** Asks for all that is newer than what is had, or is already on its way from another partner. */
const inquiryOf = (view: SpreadView, revision = revisionOf(view), version = versionOf(view)): SpreadFrame => ({
  type: 'inquire',
  inquiry: view.inquiry,
  revision,
  version,
});

const onFrame = (view: SpreadView, from: string, frame: SpreadFrame): SpreadStep => {
  switch (frame.type) {
    case 'digest':
      return onDigest(view, from, frame);
    case 'inquire':
      return stepped(view, ...caughtUp(view, from, frame.revision, frame.version), {
        type: 'send',
        address: from,
        frame: digestOf(view, false, frame.inquiry),
      });
    case 'setup':
      return withRecord(view, frame.record, from);
    case 'list':
      return withList(view, frame.list, from);
  }
};

const onHeard = (view: SpreadView): SpreadStep => {
  const heardView = { ...view, heardUs: view.atUs };
  return view.isolated ? stepped({ ...heardView, isolated: false }, { type: 'isolated', isolated: false }) : stepped(heardView);
};

const onTick = (view: SpreadView): SpreadStep => {
  const becomesIsolated = !view.isolated && view.atUs > view.heardUs + isolatedSpanUs;
  const checkedStep = becomesIsolated
    ? stepped({ ...view, isolated: true }, { type: 'isolated' as const, isolated: true })
    : stepped(view);
  if (view.atUs < view.digestUs) return checkedStep;
  return andThen(checkedStep, (checkedView) => {
    const isFull = checkedView.digests % digestsPerRoll === 0;
    const partners = new Map([...checkedView.partners].filter(([, known]) => known.heardUs > view.atUs - forgottenSpanUs));
    const dueView = { ...checkedView, partners, digests: checkedView.digests + 1, digestUs: view.atUs + digestSpanUs };
    return stepped(
      dueView,
      ...toAll(dueView, digestOf(dueView, isFull)),
      ...(dueView.refreshing ? toAll(dueView, inquiryOf(dueView)) : []),
    );
  });
};

/** The spread machine: setup by revision and list by version go to everyone, and never backwards. */
export const stepSpread = (view: SpreadView, event: SpreadEvent): SpreadStep => {
  const spanUs = event.at - view.atUs;
  const nowView: SpreadView = {
    ...view,
    atUs: Math.max(view.atUs, event.at),
    platform: spanUs >= longestStepUs ? withoutSpan(view.platform, spanUs) : view.platform,
  };
  switch (event.type) {
    case 'tick':
      return onTick(nowView);
    case 'frame':
      return andThen(onHeard(nowView), (heardView) => onFrame(heardView, event.from, event.frame));
    case 'setup':
      return withRecord(nowView, event.record);
    case 'list':
      return withList(nowView, event.list);
    case 'seeds':
      return stepped({ ...nowView, seeds: event.seeds });
    case 'refresh': {
      const askingView = { ...nowView, inquiry: nowView.inquiry + 1, refreshing: true };
      return stepped(askingView, ...toAll(askingView, inquiryOf(askingView)));
    }
  }
};
