import PQueue from 'p-queue';

/** The way into a task: events are taken in order, those that wait are taken together. */
export type Mailbox<Event> = {
  readonly post: (event: Event) => void;
  readonly idle: () => Promise<void>;
};

export const openMailbox = <Event>(take: (events: readonly Event[]) => Promise<void>): Mailbox<Event> => {
  const queue = new PQueue({ concurrency: 1 });
  let waitingEvents: Event[] = [];
  const drain = async (): Promise<void> => {
    const takenEvents = waitingEvents;
    waitingEvents = [];
    await take(takenEvents);
  };
  return {
    post: (event) => {
      waitingEvents.push(event);
      if (waitingEvents.length === 1) void queue.add(drain);
    },
    idle: () => queue.onIdle(),
  };
};
