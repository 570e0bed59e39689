import type { KeptRecord } from '../log/kept-record.js';
import type { ControlView } from '../machine/control-view.js';
import { folded } from '../machine/committing.js';
import { restingRoleOf, withEntries } from '../machine/roles.js';

/** A view with one more kept record folded in. */
export const recoveredRecord = (view: ControlView, record: KeptRecord): ControlView => {
  switch (record.type) {
    case 'identity':
      return { ...view, identity: record.identity, founds: record.founds ?? view.founds };
    case 'offer':
      return { ...view, offer: record.offer };
    case 'vote':
      return { ...view, term: record.term, votedFor: record.votedFor };
    case 'entries':
      return withEntries(view, record.entries);
    case 'image':
      return { ...view, image: record.image, entries: [], commit: record.image.index, state: record.image.state };
  }
};

/** The view that a disk gives back. What was committed shows again once a leader says so. */
export const recoveredView = (start: ControlView, records: readonly KeptRecord[]): ControlView => {
  const view = records.reduce(recoveredRecord, start);
  return { ...view, role: restingRoleOf(view) };
};

/** All that must be kept of a view, for the head of a new file: what is committed is folded first. */
export const imageRecordsOf = (view: ControlView): readonly KeptRecord[] => {
  const { image, entries } = folded(view);
  return [
    { type: 'identity', identity: view.identity, founds: view.founds },
    ...(view.offer === undefined ? [] : [{ type: 'offer' as const, offer: view.offer }]),
    { type: 'vote', term: view.term, votedFor: view.votedFor },
    { type: 'image', image },
    ...(entries.length === 0 ? [] : [{ type: 'entries' as const, entries }]),
  ];
};
