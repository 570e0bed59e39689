import type { ExchangeStory, StoryStep } from './exchange-story.js';

/** The traces of a node's most recent exchanges. */
export type StoryBook = {
  /** Stores a new trace; the oldest is evicted beyond the capacity. */
  readonly begin: (trace: ExchangeStory) => void;
  /** Appends a step; no effect if the trace was evicted. */
  readonly add: (exchange: string, step: StoryStep) => void;
  readonly all: () => readonly ExchangeStory[];
  readonly find: (exchange: string) => ExchangeStory | undefined;
};

/** Opens a store that holds at most `capacity` traces. */
export const openStoryBook = (capacity: number): StoryBook => {
  const traces = new Map<string, ExchangeStory>();
  return {
    begin: (trace) => {
      traces.set(trace.exchange, trace);
      const oldestExchange = traces.size > capacity ? traces.keys().next().value : undefined;
      if (oldestExchange !== undefined) traces.delete(oldestExchange);
    },
    add: (exchange, step) => {
      const trace = traces.get(exchange);
      if (trace !== undefined) traces.set(exchange, { ...trace, steps: [...trace.steps, step] });
    },
    all: () => [...traces.values()],
    find: (exchange) => traces.get(exchange),
  };
};
