import type { RecordBase } from '../../setup/delta/record-delta.js';
import { configurationFrameFor, heldBaseOf } from './configuration.js';
import { listDigestOf, revisionOf, versionOf } from './digest.js';
import { hasListOf, lacksList, listFor } from './list-dissemination.js';
import { withMembership } from './membership-gossip.js';
import { withTime } from './platform-time.js';
import { withRead } from './reading.js';
import type { SpreadEffect } from './spread-effect.js';
import type { Digest, SpreadFrame } from './spread-event.js';
import type { SpreadStep } from './spread-step.js';
import { andThen, stepped } from './spread-step.js';
import type { SpreadView } from './spread-view.js';
import { newsTargets } from './targets.js';
import { askSpanUs } from './timing.js';

/** What a partner says that it knows. */
export type Known = {
  readonly revision: number;
  readonly version: number;
  readonly listDigest?: string;
  /** The configuration that it holds, if it can take a delta. */
  readonly base?: RecordBase;
};

/** Gives a partner what it is known to lack. */
export const caughtUp = (
  view: SpreadView,
  address: string,
  { revision, version, listDigest, base }: Known,
): readonly SpreadEffect[] => {
  const configurationFrame = configurationFrameFor(view, revision, base);
  const list = listFor(view, version, listDigest);
  return [
    ...(configurationFrame === undefined ? [] : [{ type: 'send' as const, address, frame: configurationFrame }]),
    ...(list === undefined ? [] : [{ type: 'send' as const, address, frame: { type: 'list' as const, list } }]),
  ];
};

/** How many are asked at once after a freeze. */
const refreshTargets = 6;

/** Takes what a digest tells, and asks its sender for what is newer there. */
export const onDigest = (view: SpreadView, from: string, digest: Digest): SpreadStep =>
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
  base: heldBaseOf(view),
});

/** Asks some partners at once for all that is newer, as after a freeze. */
export const withInquiries = (view: SpreadView): SpreadStep => {
  const { targets, view: drawnView } = newsTargets(view, refreshTargets);
  return stepped(
    drawnView,
    ...targets.map((address) => ({ type: 'send' as const, address, frame: inquiryOf(drawnView) })),
  );
};
