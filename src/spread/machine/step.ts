import { boundAt, longestStepUs, raisedBound, withoutSpan } from '../../common/clock/time-bound.js';
import { withEntry } from '../../common/maps.js';
import type { Micros } from '../../common/micros.js';
import { isAsked, type AskedList } from '../../servers/list/asked-list.js';
import { livingListOf } from '../../servers/list/living-list.js';
import { mergeLists } from '../../servers/list/merge-lists.js';
import type { ServerList } from '../../servers/list/server-list.js';
import { foldReading } from '../../servers/source/fold-reading.js';
import type { ListReading } from '../../servers/source/list-reading.js';
import { laterMark, readerKeyOf, type ReadMark } from '../../servers/source/read-mark.js';
import { staleReadUs } from '../../servers/source/source-machine.js';
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
const mostFormerLists = 4;
/** Where a fleet's own time line begins: well above 0, so that a moment before it can be named. */
export const lineStartUs: Micros = 1_000_000_000_000;

/** What a partner says that it knows. */
type Known = { readonly revision: number; readonly version: number; readonly listDigest?: string };

const stepped = (view: SpreadView, ...effects: readonly SpreadEffect[]): SpreadStep => ({ view, effects });

const andThen = (step: SpreadStep, next: (view: SpreadView) => SpreadStep): SpreadStep => {
  const nextStep = next(step.view);
  return { view: nextStep.view, effects: [...step.effects, ...nextStep.effects] };
};

const revisionOf = (view: SpreadView): number => view.record?.revision ?? 0;
const versionOf = (view: SpreadView): number => view.list?.version ?? 0;

const listDigestOf = (view: SpreadView): string | undefined =>
  view.list !== undefined && isAsked(view.list) ? view.list.digest : undefined;

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

const inForce = (view: SpreadView, list: ServerList | AskedList, from?: string): SpreadStep =>
  andThen(withTime({ ...view, list }, list.atUs), (timedView) => told(timedView, { type: 'list', list: livingListOf(list) }, from));

/** Decisions take lists by version; what differs in the digest alone is settled between partners. */
const merging = (view: SpreadView, known: AskedList, list: AskedList, from?: string): SpreadStep => {
  const mergedView = { ...view, formerLists: [known, ...view.formerLists].slice(0, mostFormerLists) };
  return list.version > known.version
    ? inForce(mergedView, list, from)
    : andThen(withTime({ ...mergedView, list }, list.atUs), (timedView) => stepped(timedView, ...toAll(timedView, digestOf(timedView, false), from)));
};

/** A told list replaces by version, an asked one is merged; where the platform tells, nothing asked is taken. */
const withList = (view: SpreadView, list: ServerList | AskedList, from?: string): SpreadStep => {
  const known = view.list;
  if (!isAsked(list)) {
    const isNews = known === undefined || isAsked(known) || list.version > known.version;
    return isNews ? inForce({ ...view, formerLists: [] }, list, from) : stepped(view);
  }
  if (known === undefined) return inForce(view, mergeLists(list, list), from);
  if (!isAsked(known)) return stepped(view);
  const merged = mergeLists(known, list);
  return merged.digest === known.digest && merged.version === known.version
    ? stepped(view)
    : merging(view, known, merged, from);
};

/** Folds a reading into the list. Where nobody knows a time yet, the line of the fleet begins here. */
const withReading = (view: SpreadView, reading: ListReading, begunAt: Micros): SpreadStep => {
  if (view.list !== undefined && !isAsked(view.list)) return stepped(view);
  const platform = view.platform ?? { reachedUs: lineStartUs, atUs: view.atUs };
  const nowUs = boundAt(platform, view.atUs);
  const begunUs = Math.max(0, nowUs - Math.max(0, view.atUs - begunAt));
  const mark: ReadMark = { atUs: begunUs, by: readerKeyOf(view.self) };
  const readView = reading.whole
    ? { ...view, platform, ownRead: mark, read: laterMark(view.read, mark) }
    : { ...view, platform };
  const list = foldReading(view.list, reading, nowUs, begunUs);
  return andThen(
    view.platform === undefined ? stepped(readView, { type: 'time', platformUs: nowUs }) : stepped(readView),
    (timedView) => withList(timedView, list),
  );
};

/** A reader tells of its own reading while that is fresh, so that two that read hear of each other. */
const toldRead = (view: SpreadView): ReadMark | undefined => {
  if (view.platform === undefined || view.ownRead === undefined) return view.read;
  return boundAt(view.platform, view.atUs) <= view.ownRead.atUs + staleReadUs ? view.ownRead : view.read;
};

const withRead = (view: SpreadView, read: ReadMark | undefined): SpreadStep =>
  read === undefined || view.platform === undefined || read.by === readerKeyOf(view.self)
    ? stepped(view)
    : stepped(
        { ...view, read: laterMark(view.read, read) },
        { type: 'read', by: read.by, ageUs: Math.max(0, boundAt(view.platform, view.atUs) - read.atUs) },
      );

const digestOf = (view: SpreadView, isFull: boolean, inquiry?: number): SpreadFrame => ({
  type: 'digest',
  partner: view.self,
  revision: revisionOf(view),
  version: versionOf(view),
  listDigest: listDigestOf(view),
  read: toldRead(view),
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

/** Of an asked list the entries that a former one lacks, which merge into it as the whole would. */
const newsSince = (list: AskedList, former: AskedList): AskedList => {
  const formerDigests = new Set(former.servers.map((server) => JSON.stringify(server)));
  return { ...list, servers: list.servers.filter((server) => !formerDigests.has(JSON.stringify(server))) };
};

/** The list for a partner that has another one, or none. */
const listFor = (view: SpreadView, version: number, listDigest: string | undefined): ServerList | AskedList | undefined => {
  const { list } = view;
  if (list === undefined) return undefined;
  if (!isAsked(list)) return listDigest !== undefined || version < list.version ? list : undefined;
  if (listDigest === undefined) return version < list.version ? list : undefined;
  if (listDigest === list.digest && version >= list.version) return undefined;
  const former = view.formerLists.find(({ digest }) => digest === listDigest);
  return former === undefined ? list : newsSince(list, former);
};

/** Gives a partner what it is known to lack. */
const caughtUp = (view: SpreadView, address: string, { revision, version, listDigest }: Known): readonly SpreadEffect[] => [
  ...(view.record !== undefined && revision < view.record.revision
    ? [{ type: 'send' as const, address, frame: { type: 'setup' as const, record: view.record } }]
    : []),
  ...[listFor(view, version, listDigest)].flatMap((list) =>
    list === undefined ? [] : [{ type: 'send' as const, address, frame: { type: 'list' as const, list } }],
  ),
];

/** Whether a partner's list has to be asked for, beside what is had or on its way. */
const lacksList = (view: SpreadView, digest: Known, hadVersion: number, isPending: boolean): boolean => {
  const isOwnAsked = listDigestOf(view) !== undefined;
  const isOthersAsked = digest.listDigest !== undefined;
  if (view.list === undefined || isOwnAsked === isOthersAsked)
    return digest.version > hadVersion || (!isPending && digest.version === versionOf(view) && digest.listDigest !== listDigestOf(view));
  return isOwnAsked && digest.version > 0 && !isPending;
};

/** Whether a list has all that a digest speaks of. Of asked lists only equal ones are sure to: frames pass each other. */
const hasListOf = (view: SpreadView, digest: Known): boolean => {
  const isOwnAsked = listDigestOf(view) !== undefined;
  if (isOwnAsked && digest.listDigest !== undefined) return digest.version === versionOf(view) && digest.listDigest === listDigestOf(view);
  if (isOwnAsked) return digest.version === 0;
  return (view.list !== undefined && digest.listDigest !== undefined) || digest.version <= versionOf(view);
};

const onDigest = (view: SpreadView, from: string, digest: Extract<SpreadFrame, { readonly type: 'digest' }>): SpreadStep => {
  const introduced = [{ partner: digest.partner, ageUs: 0 }, ...digest.partners].reduce<SpreadStep>(
    (step, { partner, ageUs }) => andThen(step, (reachedView) => withPartner(reachedView, partner, view.atUs - ageUs)),
    stepped(view),
  );
  return andThen(
    andThen(
      andThen(introduced, (introducedView) => withTime(introducedView, digest.platformUs)),
      (timedView) => withRead(timedView, digest.read),
    ),
    (timedView) => {
      const isReceipt = timedView.refreshing && digest.inquiry === timedView.inquiry;
      const isFresh = isReceipt && digest.revision <= revisionOf(timedView) && hasListOf(timedView, digest);
      const { asked } = timedView;
      const isPending = timedView.atUs < asked.atUs + askSpanUs;
      const hadRevision = isPending ? Math.max(asked.revision, revisionOf(timedView)) : revisionOf(timedView);
      const hadVersion = isPending ? Math.max(asked.version, versionOf(timedView)) : versionOf(timedView);
      const lacks = digest.revision > hadRevision || lacksList(timedView, digest, hadVersion, isPending);
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
  listDigest: version === versionOf(view) ? listDigestOf(view) : undefined,
});

const onFrame = (view: SpreadView, from: string, frame: SpreadFrame): SpreadStep => {
  switch (frame.type) {
    case 'digest':
      return onDigest(view, from, frame);
    case 'inquire':
      return stepped(view, ...caughtUp(view, from, frame), {
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

/** The spread machine: setup by revision and list by version, or by merging, go to everyone, and never backwards. */
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
    case 'reading':
      return withReading(nowView, event.reading, event.begunAt);
    case 'refresh': {
      const askingView = { ...nowView, inquiry: nowView.inquiry + 1, refreshing: true };
      return stepped(askingView, ...toAll(askingView, inquiryOf(askingView)));
    }
  }
};
