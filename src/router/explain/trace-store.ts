import type { ExchangeTrace, TraceStep } from './exchange-trace.js';

/** The traces of a node's most recent exchanges. */
export type TraceStore = {
  /** Stores a new trace; the oldest is evicted beyond the capacity. */
  readonly begin: (trace: ExchangeTrace) => void;
  /** Appends a step; no effect if the trace was evicted. */
  readonly add: (exchange: string, step: TraceStep) => void;
  readonly all: () => readonly ExchangeTrace[];
  readonly find: (exchange: string) => ExchangeTrace | undefined;
};

/** Opens a store that holds at most `capacity` traces. */
export const openTraceStore = (capacity: number): TraceStore => {
  const traces = new Map<string, ExchangeTrace>();
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
