import PQueue from 'p-queue';

/** The input queue of a task: events are handled in order, one batch at a time; a batch is all events that wait. */
export type Mailbox<Event> = {
  readonly post: (event: Event) => void;
  /** Resolves once all posted events are handled. */
  readonly idle: () => Promise<void>;
};

export const openMailbox = <Event>(handle: (events: readonly Event[]) => Promise<void>): Mailbox<Event> => {
  const queue = new PQueue({ concurrency: 1 });
  let waitingEvents: Event[] = [];
  const drain = async (): Promise<void> => {
    const batch = waitingEvents;
    waitingEvents = [];
    await handle(batch);
  };
  return {
    post: (event) => {
      waitingEvents.push(event);
      if (waitingEvents.length === 1) void queue.add(drain);
    },
    idle: () => queue.onIdle(),
  };
};
