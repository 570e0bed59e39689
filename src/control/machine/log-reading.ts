import type { LogEntry } from '../log/log-entry.js';
import type { Member } from '../members/member.js';
import type { ControlView } from './control-view.js';

type Logged = Pick<ControlView, 'image' | 'entries'>;

/** How much an entry weighs by the document that came with it. */
export const textCharsOf = ({ command }: LogEntry): number =>
  command.type === 'setup' ? (command.original?.text.length ?? 0) : 0;

export const lastIndexOf = (view: Logged): number => view.entries[view.entries.length - 1]?.index ?? view.image.index;

export const lastTermOf = (view: Logged): number => view.entries[view.entries.length - 1]?.term ?? view.image.term;

export const entryAt = (view: Logged, index: number): LogEntry | undefined =>
  view.entries[index - view.image.index - 1];

export const termAt = (view: Logged, index: number): number | undefined =>
  index === view.image.index ? view.image.term : entryAt(view, index)?.term;

export const entriesFrom = (view: Logged, index: number, most: number): readonly LogEntry[] => {
  const startPlace = Math.max(0, index - view.image.index - 1);
  return view.entries.slice(startPlace, startPlace + most);
};

/** The members by the newest entry that names them, committed or not. */
export const membersOf = (view: Logged): readonly Member[] => {
  for (let place = view.entries.length - 1; place >= 0; place -= 1) {
    const command = view.entries[place]?.command;
    if (command?.type === 'members') return command.members;
  }
  return view.image.members;
};

export const votersOf = (view: Logged): readonly Member[] => membersOf(view).filter((member) => member.voter);

export const isVoter = (view: Logged, identity: string): boolean =>
  votersOf(view).some((member) => member.identity === identity);

/** Whether the newest members entry is not committed yet; only one change runs at a time. */
export const hasOpenChange = (view: Logged & Pick<ControlView, 'commit'>): boolean =>
  view.entries.some((entry) => entry.index > view.commit && entry.command.type === 'members');
