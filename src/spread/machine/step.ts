import { boundAt, longestStepUs, raisedBound, withoutSpan } from '../../common/clock/time-bound.js';
import { emptyMap } from '../../common/persistent-map.js';
import type { Micros } from '../../common/micros.js';
import { isAsked, type AskedList } from '../../servers/list/asked-list.js';
import { livingListOf } from '../../servers/list/living-list.js';
import { mergeLists } from '../../servers/list/merge-lists.js';
import type { ServerList } from '../../servers/list/server-list.js';
import { foldReading } from '../../servers/source/fold-reading.js';
import type { ListReading } from '../../servers/source/list-reading.js';
import { laterMark, readerKeyOf, type ReadMark } from '../../servers/source/read-mark.js';
import type { SetupRecord } from '../../setup/document/setup-record.js';
import { digestsTo, digestTo, listDigestOf, revisionOf, versionOf } from './digest.js';
import { nextDraw, someOf } from './draw.js';
import { isDisputed, newsOf, withNews, withoutOverdue, withPartner } from './membership.js';
import type { SpreadEffect } from './spread-effect.js';
import type { SpreadEvent, SpreadFrame } from './spread-event.js';
import { andThen, stepped, type SpreadStep } from './spread-step.js';
import type { SpreadView } from './spread-view.js';
import { addressesOf, hasFew, newsTargets, somePartners } from './targets.js';
import {
  askSpanUs,
  beatUsOf,
  differingSpanUs,
  digestSpanUs,
  isolatedSpanUs,
  probeSpanUs,
  probeTries,
  pushedReadSpanUs,
  uneasyHeardUs,
  uneasyReadUs,
  wholeSpanUs,
} from './timing.js';

const digestsPerRoll = 5;
const digestsPerWhole = 25;
const mostFormerLists = 8;
/** How many hear news at once from who is first to know it, and from each that hears it. */
const firstTellings = 8;
const tellings = 3;
/** How many are asked at once after a freeze. */
const refreshTargets = 6;
/** Where a fleet's own time line begins: well above 0, so that a moment before it can be named. */
export const lineStartUs: Micros = 1_000_000_000_000;

/** What a partner says that it knows. */
type Known = { readonly revision: number; readonly version: number; readonly listDigest?: string };

const withTime = (view: SpreadView, platformUs: Micros | undefined): SpreadStep => {
  if (platformUs === undefined) return stepped(view);
  const platform = raisedBound(view.platform, platformUs, view.atUs);
  return platform === view.platform ? stepped(view) : stepped({ ...view, platform }, { type: 'time', platformUs });
};

/** Lets others know at once that there is news: all of few, or some, who go on telling it. They ask for its text. */
const pushed = (view: SpreadView, from?: string): SpreadStep => {
  const { targets, view: drawnView } = newsTargets(view, from === undefined ? firstTellings : tellings, from);
  return digestsTo(drawnView, targets);
};

/** Makes news known here and to others. */
const told = (view: SpreadView, news: SpreadEffect, from?: string): SpreadStep =>
  andThen(stepped(view, news), (toldView) => pushed(toldView, from));

const withRecord = (view: SpreadView, record: SetupRecord, from?: string): SpreadStep =>
  record.revision <= revisionOf(view) ? stepped(view) : told({ ...view, record }, { type: 'setup', record }, from);

const inForce = (view: SpreadView, list: ServerList | AskedList, from?: string): SpreadStep =>
  andThen(withTime({ ...view, list }, list.atUs), (timedView) =>
    told(timedView, { type: 'list', list: livingListOf(list) }, from),
  );

/** Decisions take lists by version; what differs in the digest alone is settled between partners. */
const merging = (view: SpreadView, known: AskedList, list: AskedList, from?: string): SpreadStep => {
  const mergedView = { ...view, formerLists: [known, ...view.formerLists].slice(0, mostFormerLists) };
  return list.version > known.version
    ? inForce(mergedView, list, from)
    : andThen(withTime({ ...mergedView, list }, list.atUs), (timedView) => pushed(timedView, from));
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

/** Beats of a larger fleet are too slow for the news that a reading was made; it is handed on at once. */
const pushedRead = (view: SpreadView, from?: string): SpreadStep => {
  const { read } = view;
  if (read === undefined || read.atUs < view.pushedReadUs + pushedReadSpanUs || hasFew(view)) return stepped(view);
  return pushed({ ...view, pushedReadUs: read.atUs }, from);
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
    (timedView) =>
      andThen(withList(timedView, list), (listedView) =>
        reading.whole ? pushedRead(listedView) : stepped(listedView),
      ),
  );
};

const withRead = (view: SpreadView, read: ReadMark | undefined, from: string): SpreadStep =>
  read === undefined || view.platform === undefined || read.by === readerKeyOf(view.self)
    ? stepped(view)
    : andThen(
        stepped(
          { ...view, read: laterMark(view.read, read) },
          { type: 'read', by: read.by, ageUs: Math.max(0, boundAt(view.platform, view.atUs) - read.atUs) },
        ),
        (readView) => pushedRead(readView, from),
      );

/** Of an asked list the entries that a former one lacks, which merge into it as the whole would. */
const newsSince = (list: AskedList, former: AskedList): AskedList => {
  const formerDigests = new Set(former.servers.map((server) => JSON.stringify(server)));
  return { ...list, servers: list.servers.filter((server) => !formerDigests.has(JSON.stringify(server))) };
};

/** The list for a partner that has another one, or none. */
const listFor = (
  view: SpreadView,
  version: number,
  listDigest: string | undefined,
): ServerList | AskedList | undefined => {
  const { list } = view;
  if (list === undefined) return undefined;
  if (!isAsked(list)) return listDigest !== undefined || version < list.version ? list : undefined;
  if (listDigest === undefined) return version < list.version ? list : undefined;
  if (listDigest === list.digest && version >= list.version) return undefined;
  const former = view.formerLists.find(({ digest }) => digest === listDigest);
  return former === undefined ? list : newsSince(list, former);
};

/** Gives a partner what it is known to lack. */
const caughtUp = (
  view: SpreadView,
  address: string,
  { revision, version, listDigest }: Known,
): readonly SpreadEffect[] => [
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
    return (
      digest.version > hadVersion ||
      (!isPending && digest.version === versionOf(view) && digest.listDigest !== listDigestOf(view))
    );
  return isOwnAsked && digest.version > 0 && !isPending;
};

/** Whether a list has all that a digest speaks of. Of asked lists only equal ones are sure to: frames pass each other. */
const hasListOf = (view: SpreadView, digest: Known): boolean => {
  const isOwnAsked = listDigestOf(view) !== undefined;
  if (isOwnAsked && digest.listDigest !== undefined)
    return digest.version === versionOf(view) && digest.listDigest === listDigestOf(view);
  if (isOwnAsked) return digest.version === 0;
  return (view.list !== undefined && digest.listDigest !== undefined) || digest.version <= versionOf(view);
};

type Digest = Extract<SpreadFrame, { readonly type: 'digest' }>;

const heardOfSelf = (view: SpreadView, from: string, digest: Digest): SpreadStep => {
  const introduced = new Set(view.introduced);
  if (digest.unknown === true) introduced.delete(from);
  else introduced.add(from);
  const isNoted = introduced.size === view.introduced.size && introduced.has(from) === view.introduced.has(from);
  const notedView = isNoted ? view : { ...view, introduced };
  const known = view.partners.get(from);
  const partner = digest.partner ?? known?.partner ?? view.lost.get(from)?.partner;
  return partner === undefined || partner.address !== from
    ? stepped(notedView)
    : withPartner(notedView, partner, digest.incarnation);
};

/** When membership differs from a partner's for long, changes were missed, and the whole of it is asked for. */
const compared = (view: SpreadView, digest: Digest): SpreadView => {
  const wholeUs = digest.whole === true ? view.atUs : view.wholeUs;
  if (digest.crowd === view.crowd) return { ...view, wholeUs, differsUs: undefined };
  return { ...view, wholeUs, differsUs: digest.whole === true ? undefined : (view.differsUs ?? view.atUs) };
};

/** Some of those that newly hear of a suspicion look for themselves, so that one broken link ends nobody. */
const lookedAt = (view: SpreadView, suspects: readonly string[]): SpreadStep =>
  suspects.reduce<SpreadStep>((step, address) => {
    const drawn = nextDraw(step.view.draw);
    const drawnView = { ...step.view, draw: drawn.draw };
    if (drawn.chance >= 4 / Math.max(1, drawnView.partners.size)) return { view: drawnView, effects: step.effects };
    return andThen({ view: drawnView, effects: step.effects }, (askingView) =>
      digestTo(askingView, address, { asks: 'digest' }),
    );
  }, stepped(view));

const withMembership = (view: SpreadView, from: string, digest: Digest): SpreadStep => {
  const wasSuspect = new Set(
    digest.partners.flatMap(({ partner }) =>
      view.partners.get(partner.address)?.suspectUs === undefined ? [] : [partner.address],
    ),
  );
  const { incarnation } = view;
  const folded = digest.partners.reduce<SpreadStep>(
    (step, news) => andThen(step, (foldedView) => withNews(foldedView, news)),
    heardOfSelf(view, from, digest),
  );
  const suspects = digest.partners.flatMap(({ partner: { address } }) =>
    folded.view.partners.get(address)?.suspectUs !== undefined && !wasSuspect.has(address) ? [address] : [],
  );
  return andThen(
    andThen(folded, (foldedView) => lookedAt(foldedView, suspects)),
    (foldedView) => {
      const comparedView = compared(foldedView, digest);
      const disputes = isDisputed(comparedView, from, digest.incarnation);
      const isDue =
        digest.asks !== undefined || digest.unknown === true || disputes || comparedView.incarnation !== incarnation;
      return isDue
        ? digestTo(comparedView, from, {
            whole: digest.asks === 'whole',
            ...(digest.crowds === undefined ? {} : { crowds: digest.crowds }),
            disputes,
          })
        : stepped(comparedView);
    },
  );
};

const onDigest = (view: SpreadView, from: string, digest: Digest): SpreadStep =>
  andThen(
    andThen(
      andThen(withMembership(view, from, digest), (introducedView) => withTime(introducedView, digest.platformUs)),
      (timedView) => withRead(timedView, digest.read, from),
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
            ? {
                atUs: timedView.atUs,
                revision: Math.max(digest.revision, hadRevision),
                version: Math.max(digest.version, hadVersion),
              }
            : asked,
        },
        ...(isFresh ? [{ type: 'refreshed' as const }] : []),
        ...(lacks
          ? [{ type: 'send' as const, address: from, frame: inquiryOf(timedView, hadRevision, hadVersion) }]
          : []),
      );
    },
  );

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
      return andThen(stepped(view, ...caughtUp(view, from, frame)), (givenView) =>
        digestTo(givenView, from, { inquiry: frame.inquiry }),
      );
    case 'setup':
      return withRecord(view, frame.record, from);
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

const awaiting = (view: SpreadView, addresses: readonly string[]): SpreadView => {
  const newlyAwaited = addresses.filter((address) => view.partners.has(address) && !view.awaited.has(address));
  return {
    ...view,
    awaited: newlyAwaited.reduce(
      (awaited, address) => awaited.set(address, { askedUs: view.atUs, tries: 1 }),
      view.awaited,
    ),
  };
};

/** Asks those again that owe a sign, and brings those under suspicion that went on owing it. */
const withProbes = (view: SpreadView): SpreadStep => {
  const due = [...view.awaited].filter(([, { askedUs }]) => view.atUs >= askedUs + probeSpanUs);
  return due.reduce<SpreadStep>(
    (step, [address, { tries }]) =>
      andThen(step, (dueView) => {
        if (tries < probeTries)
          return digestTo(
            { ...dueView, awaited: dueView.awaited.set(address, { askedUs: dueView.atUs, tries: tries + 1 }) },
            address,
            { asks: 'digest' },
          );
        const waitedView = { ...dueView, awaited: dueView.awaited.delete(address) };
        const [news] = newsOf(waitedView, address);
        return news === undefined || news.state !== 'alive'
          ? stepped(waitedView)
          : withNews(waitedView, { ...news, state: 'suspect' });
      }),
    stepped(view),
  );
};

/** Who has not heard of anybody, or of a whole reading, for a while, asks some at once. */
const withUnease = (view: SpreadView): SpreadStep => {
  if (hasFew(view) || view.atUs < view.uneasyUs) return stepped(view);
  const isReadOld =
    view.read !== undefined &&
    view.platform !== undefined &&
    boundAt(view.platform, view.atUs) > view.read.atUs + uneasyReadUs;
  if (!isReadOld && view.atUs <= view.heardUs + uneasyHeardUs) return stepped(view);
  const { targets, view: drawnView } = somePartners({ ...view, uneasyUs: view.atUs + digestSpanUs }, 2);
  return digestsTo(drawnView, targets, () => ({ asks: 'digest' }));
};

/** One partner after the other, each once a round, in an order by chance. */
const nextOfRound = (view: SpreadView): { readonly target: string | undefined; readonly view: SpreadView } => {
  const living = view.round.filter((address) => view.partners.has(address));
  if (living.length > 0) return { target: living[0], view: { ...view, round: living.slice(1) } };
  const shuffled = someOf(view.draw, [...view.partners.keys()], view.partners.size);
  return { target: shuffled.some[0], view: { ...view, draw: shuffled.draw, round: shuffled.some.slice(1) } };
};

const asksWhole = (view: SpreadView): boolean =>
  view.wholeUs === Number.NEGATIVE_INFINITY ||
  (view.differsUs !== undefined &&
    view.atUs > view.differsUs + differingSpanUs &&
    view.atUs > view.wholeUs + wholeSpanUs);

/** A seed, or one that was given up, by turns: whoever was cut off for long is met again by it. */
const farOne = (view: SpreadView): { readonly targets: readonly string[]; readonly view: SpreadView } => {
  if (view.digests % digestsPerRoll !== 0) return { targets: [], view };
  const missing = [...new Set([...view.seeds, ...view.lost.keys()])].filter(
    (address) => address !== view.self.address && !view.partners.has(address),
  );
  const drawn = someOf(view.draw, missing, 1);
  return { targets: drawn.some, view: { ...view, draw: drawn.draw } };
};

/** A beat of a fleet of few goes to all, with all partners now and then. */
const beatToAll = (view: SpreadView): SpreadStep => {
  const isFull = view.digests % digestsPerWhole === 0;
  const addresses = addressesOf(view);
  const wholeFrom = asksWhole(view) ? addresses[view.digests % addresses.length] : undefined;
  return digestsTo(awaiting(view, addresses), addresses, (address) =>
    address === wholeFrom ? { asks: 'whole' } : { whole: isFull },
  );
};

/** A beat of a larger one goes to the next of the round and to one by chance, and sometimes to one that was given up. */
const beatToSome = (view: SpreadView): SpreadStep => {
  const round = nextOfRound(view);
  const near = somePartners(round.view, 1, round.target);
  const far = farOne(near.view);
  const targets = [
    ...new Set([...(round.target === undefined ? [] : [round.target]), ...near.targets, ...far.targets]),
  ];
  const wholeFrom = asksWhole(far.view) ? targets[0] : undefined;
  const askingView = wholeFrom === undefined ? far.view : { ...far.view, wholeUs: view.atUs };
  return digestsTo(awaiting(askingView, targets), targets, (address) => ({
    asks: address === wholeFrom ? 'whole' : 'digest',
  }));
};

const withInquiries = (view: SpreadView): SpreadStep => {
  const { targets, view: drawnView } = newsTargets(view, refreshTargets);
  return stepped(
    drawnView,
    ...targets.map((address) => ({ type: 'send' as const, address, frame: inquiryOf(drawnView) })),
  );
};

const withBeat = (view: SpreadView): SpreadStep => {
  if (view.atUs < view.digestUs) return stepped(view);
  const isFew = hasFew(view);
  const dueView = { ...view, digestUs: view.atUs + (isFew ? digestSpanUs : beatUsOf(view.partners.size)) };
  return andThen(isFew ? beatToAll(dueView) : beatToSome(dueView), (toldView) =>
    stepped({ ...toldView, digests: toldView.digests + 1 }),
  );
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
