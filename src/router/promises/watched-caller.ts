import type { CallerLink } from '../delivery/caller-link.js';
import type { OpaqueCaller } from '../opaque/opaque-caller.js';
import type { PromiseChecks } from './promise-checks.js';

/** The way back to a caller, with a look at what is said on it and at the tries that were made for it. */
export type WatchedCaller = {
  readonly caller: CallerLink;
  /** A try has been sent to a server. */
  readonly sent: () => void;
  /** A server has said that it did not run the try that was sent last. */
  readonly notRun: () => void;
  /** Whether a last word was said, or an answer has begun. */
  readonly isAnswered: () => boolean;
};

export type WatchedExchange = {
  readonly exchange: string;
  /** Whether it may run more than once. */
  readonly repeatable: boolean;
};

/** Watches one exchange: what is promised of its answer and of its tries. */
export const watchCaller = (
  caller: CallerLink,
  { exchange, repeatable }: WatchedExchange,
  checks: PromiseChecks,
): WatchedCaller => {
  let lastWord: string | undefined;
  let hasBegun = false;
  /** Tries that were sent and of which no server has said that it did not run them. */
  let mayHaveRun = 0;

  const say = (word: string, isLast: boolean): void => {
    if (lastWord !== undefined) checks.broken('one-final-answer', { exchange, first: lastWord, then: word });
    hasBegun ||= !isLast;
    if (isLast) lastWord ??= word;
  };

  const watchedOpaque = (opaque: OpaqueCaller): OpaqueCaller => ({
    begin: (head) => {
      say('begin', false);
      opaque.begin(head);
    },
    write: (bytes) => {
      say('write', false);
      return opaque.write(bytes);
    },
    onRoom: opaque.onRoom,
    end: () => {
      say('end', true);
      opaque.end();
    },
    whole: (head, body) => {
      say('whole', true);
      opaque.whole(head, body);
    },
  });

  return {
    caller: {
      ...(caller.opaque === undefined ? {} : { opaque: watchedOpaque(caller.opaque) }),
      isGone: caller.isGone,
      onGone: caller.onGone,
      piece: (name, line) => {
        say('piece', false);
        return caller.piece(name, line);
      },
      end: (name, pieces) => {
        say('end', true);
        caller.end(name, pieces);
      },
      receipt: (name, text) => {
        say('receipt', true);
        caller.receipt(name, text);
      },
      refuse: (error, name, retryAfterUs) => {
        if (hasBegun || mayHaveRun > 0) checks.broken('refused-never-ran', { exchange, error: error.type, mayHaveRun });
        say('refuse', true);
        caller.refuse(error, name, retryAfterUs);
      },
      unknown: (error, facts) => {
        say('unknown', true);
        caller.unknown(error, facts);
      },
      breakOff: () => {
        say('breakOff', true);
        caller.breakOff();
      },
    },
    sent: () => {
      if (mayHaveRun > 0 && !repeatable) checks.broken('runs-once', { exchange, tries: mayHaveRun + 1 });
      mayHaveRun += 1;
    },
    notRun: () => {
      mayHaveRun = Math.max(0, mayHaveRun - 1);
    },
    isAnswered: () => hasBegun || lastWord !== undefined,
  };
};
