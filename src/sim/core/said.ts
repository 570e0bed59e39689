import type { Replica } from '../../control/machine/replica.js';
import { lastIndexOf } from '../../control/machine/log-queries.js';
import type { PlainMessage } from '../../control/wire/message-codec.js';

/** What a core machine has said to others; its disk must bear it out when it comes back. */
export type Said = {
  readonly note: (to: string | undefined, message: PlainMessage) => void;
  /** What a view that was recovered from disk has lost of it, if anything. */
  readonly lostBy: (view: Replica) => string | undefined;
  /** For a machine that comes back as another one. */
  readonly forget: () => void;
};

export const openSaid = (): Said => {
  let term = 0;
  let voteFor: string | undefined;
  let kept = { term: 0, index: 0 };
  const noteTerm = (newTerm: number): void => {
    if (newTerm <= term) return;
    term = newTerm;
    voteFor = undefined;
  };
  return {
    note: (to, message) => {
      if (
        message.type === 'voteReply' ||
        message.type === 'vote' ||
        message.type === 'appendReply' ||
        message.type === 'append'
      )
        noteTerm(message.term);
      if (message.type === 'voteReply' && message.granted && message.term === term) voteFor = to;
      if (message.type === 'appendReply' && message.matches && message.term >= kept.term)
        kept = {
          term: message.term,
          index: message.term > kept.term ? message.index : Math.max(kept.index, message.index),
        };
    },
    lostBy: (view) => {
      if (view.term < term) return `it spoke in term ${term} and came back in term ${view.term}`;
      if (view.term === term && voteFor !== undefined && view.votedFor !== voteFor)
        return `it voted for ${voteFor} and came back with ${view.votedFor ?? 'no vote'}`;
      if (view.term === kept.term && lastIndexOf(view) < kept.index)
        return `it said that it keeps ${kept.index} entries`;
      return undefined;
    },
    forget: () => {
      term = 0;
      voteFor = undefined;
      kept = { term: 0, index: 0 };
    },
  };
};
