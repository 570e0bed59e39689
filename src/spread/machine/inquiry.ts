import type { RecordBase } from '../../setup/delta/record-delta.js';
import { configurationFrameFor, heldBaseOf } from './configuration.js';
import { listDigestOf, revisionOf, versionOf } from './digest.js';
import { hasListOf, lacksList, listFor } from './list-dissemination.js';
import { applyMembership } from './membership-gossip.js';
import { raisePlatformTime } from './platform-time.js';
import { adoptReadingStamp } from './reading.js';
import type { GossipEffect } from './gossip-effect.js';
import type { Digest, GossipFrame } from './gossip-event.js';
import type { GossipStep } from './gossip-step.js';
import { andThen, withEffects } from './gossip-step.js';
import type { GossipView } from './gossip-view.js';
import { pushTargets } from './targets.js';
import { inquiryTimeoutUs } from './timing.js';

/** The versions of configuration and list that a peer holds, from its digest or inquiry. */
export type HeldVersions = {
  readonly revision: number;
  readonly version: number;
  readonly listDigest?: string;
  /** The configuration that it holds, as the base of a delta. */
  readonly base?: RecordBase;
};

/** Sends a peer the configuration and the list that it lacks. */
export const catchUpEffects = (
  view: GossipView,
  address: string,
  { revision, version, listDigest, base }: HeldVersions,
): readonly GossipEffect[] => {
  const configurationFrame = configurationFrameFor(view, revision, base);
  const list = listFor(view, version, listDigest);
  return [
    ...(configurationFrame === undefined ? [] : [{ type: 'send' as const, address, frame: configurationFrame }]),
    ...(list === undefined ? [] : [{ type: 'send' as const, address, frame: { type: 'list' as const, list } }]),
  ];
};

/** The number of peers that receive an inquiry on a refresh. */
const refreshFanOut = 6;

/** Applies a digest, and sends an inquiry to its sender if that has a newer configuration or list. */
export const onDigest = (view: GossipView, from: string, digest: Digest): GossipStep =>
  andThen(
    andThen(
      andThen(applyMembership(view, from, digest), (introducedView) =>
        raisePlatformTime(introducedView, digest.platformUs),
      ),
      (timedView) => adoptReadingStamp(timedView, digest.read, from),
    ),
    (timedView) => {
      const isForRefresh = timedView.refreshing && digest.inquiry === timedView.inquiry;
      const isFresh = isForRefresh && digest.revision <= revisionOf(timedView) && hasListOf(timedView, digest);
      const { lastInquiry } = timedView;
      const isPending = timedView.atUs < lastInquiry.atUs + inquiryTimeoutUs;
      const hadRevision = isPending ? Math.max(lastInquiry.revision, revisionOf(timedView)) : revisionOf(timedView);
      const hadVersion = isPending ? Math.max(lastInquiry.version, versionOf(timedView)) : versionOf(timedView);
      const lacks = digest.revision > hadRevision || lacksList(timedView, digest, hadVersion, isPending);
      return withEffects(
        {
          ...timedView,
          refreshing: timedView.refreshing && !isFresh,
          lastInquiry: lacks
            ? {
                atUs: timedView.atUs,
                revision: Math.max(digest.revision, hadRevision),
                version: Math.max(digest.version, hadVersion),
              }
            : lastInquiry,
        },
        ...(isFresh ? [{ type: 'refreshed' as const }] : []),
        ...(lacks
          ? [{ type: 'send' as const, address: from, frame: inquiryFrameOf(timedView, hadRevision, hadVersion) }]
          : []),
      );
    },
  );

/** An inquiry for anything newer than `revision` and `version`, which may already be in flight from another peer. */
const inquiryFrameOf = (view: GossipView, revision = revisionOf(view), version = versionOf(view)): GossipFrame => ({
  type: 'inquire',
  inquiry: view.inquiry,
  revision,
  version,
  listDigest: version === versionOf(view) ? listDigestOf(view) : undefined,
  base: heldBaseOf(view),
});

/** Sends inquiries for anything newer to some peers, as a refresh after a freeze of the process does. */
export const sendInquiries = (view: GossipView): GossipStep => {
  const { targets, view: drawnView } = pushTargets(view, refreshFanOut);
  return withEffects(
    drawnView,
    ...targets.map((address) => ({ type: 'send' as const, address, frame: inquiryFrameOf(drawnView) })),
  );
};
