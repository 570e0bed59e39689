import { withEntry } from '../../common/maps.js';
import type { Command } from '../log/command.js';
import type { LogEntry } from '../log/log-entry.js';
import { leaderCommitted } from './committing.js';
import type { ControlEffect } from './control-effect.js';
import { andThen, overAll, stepped, type ControlStep } from './control-step.js';
import type { ControlView } from './control-view.js';
import { entriesFrom, lastIndexOf, membersOf, termAt, textCharsOf, votersOf } from './log-reading.js';
import type { Progress } from './progress.js';
import { mostSentEntries, mostTextChars, resendSpanUs } from './timing.js';

export const newProgress = (view: ControlView): Progress => ({
  next: lastIndexOf(view) + 1,
  match: 0,
  heardUs: view.atUs,
  heardRound: 0,
  pausedUntilUs: 0,
});

/** The first entries of some, as many as their texts allow, and one at least. */
const withinText = (entries: readonly LogEntry[]): readonly LogEntry[] => {
  let textChars = 0;
  const end = entries.findIndex((entry, place) => (textChars += textCharsOf(entry)) > mostTextChars && place > 0);
  return end < 0 ? entries : entries.slice(0, end);
};

/** Sends one machine what it lacks, or a bare heartbeat while it has word to send back. */
export const sentAppend = (view: ControlView, identity: string): ControlStep => {
  const progress = view.progress.get(identity) ?? newProgress(view);
  const isPaused = view.atUs < progress.pausedUntilUs;
  if (progress.next <= view.image.index) {
    if (isPaused) return stepped(view);
    const pausedView = {
      ...view,
      progress: withEntry(view.progress, identity, { ...progress, pausedUntilUs: view.atUs + resendSpanUs * 5 }),
    };
    return stepped(pausedView, {
      type: 'send',
      to: identity,
      message: { type: 'install', term: view.term, image: view.image, round: view.round },
    });
  }
  const previousIndex = isPaused ? Math.max(progress.match, view.image.index) : progress.next - 1;
  const entries = isPaused ? [] : withinText(entriesFrom(view, progress.next, mostSentEntries));
  const pausedUntilUs = entries.length > 0 ? view.atUs + resendSpanUs : progress.pausedUntilUs;
  return stepped(
    { ...view, progress: withEntry(view.progress, identity, { ...progress, pausedUntilUs }) },
    {
      type: 'send',
      to: identity,
      message: {
        type: 'append',
        term: view.term,
        previousIndex,
        previousTerm: termAt(view, previousIndex) ?? 0,
        entries,
        commit: view.commit,
        round: view.round,
      },
    },
  );
};

export const othersOf = (view: ControlView): readonly string[] =>
  membersOf(view)
    .map((member) => member.identity)
    .filter((identity) => identity !== view.identity);

export const sentToAll = (view: ControlView): ControlStep => overAll(stepped(view), othersOf(view), sentAppend);

/**
 * Bare heartbeats of a leader whose disk is busy: they promise nothing that is not synced. Only a disk
 * that stays busy beyond a bound lets the others elect another leader.
 */
export const pulseOf = (syncedView: ControlView): readonly ControlEffect[] =>
  syncedView.role !== 'leader'
    ? []
    : othersOf(syncedView).map((identity) => {
        const previousIndex = Math.max(syncedView.progress.get(identity)?.match ?? 0, syncedView.image.index);
        return {
          type: 'send',
          to: identity,
          message: {
            type: 'append',
            term: syncedView.term,
            previousIndex,
            previousTerm: termAt(syncedView, previousIndex) ?? 0,
            entries: [],
            commit: syncedView.commit,
            round: syncedView.round,
          },
        };
      });

/** A leader adds an entry, keeps it and sends it on. */
export const appended = (view: ControlView, command: Command, ask: string | undefined): ControlStep => {
  const entry: LogEntry = { index: lastIndexOf(view) + 1, term: view.term, command };
  const longerView: ControlView = {
    ...view,
    entries: [...view.entries, entry],
    asks: ask === undefined ? view.asks : withEntry(view.asks, entry.index, ask),
  };
  const kept = stepped(longerView, { type: 'keep', record: { type: 'entries', entries: [entry] } });
  return andThen(andThen(kept, sentToAll), leaderCommitted);
};

/** Answers the reads that a majority has confirmed since they began. */
export const readsAnswered = (view: ControlView): ControlStep => {
  if (termAt(view, view.commit) !== view.term) return stepped(view);
  const voters = votersOf(view);
  const isConfirmed = (round: number): boolean =>
    voters.filter(
      (voter) => voter.identity === view.identity || (view.progress.get(voter.identity)?.heardRound ?? 0) >= round,
    ).length *
      2 >
    voters.length;
  const readyReads = view.reads.filter((read) => view.commit >= read.index && isConfirmed(read.round));
  if (readyReads.length === 0) return stepped(view);
  const effects = readyReads.map((read): ControlEffect => ({
    type: 'receipt',
    ask: read.ask,
    receipt: {
      type: 'record',
      record: view.state.record,
      outcome: read.proposal === undefined ? undefined : view.state.proposals.get(read.proposal),
    },
  }));
  return { view: { ...view, reads: view.reads.filter((read) => !readyReads.includes(read)) }, effects };
};
