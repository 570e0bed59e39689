/** An in-memory event log: a base image, the events since that image, and the view folded from both. */
export type Journal<View, Event> = {
  readonly append: (event: Event) => void;
  readonly view: () => View;
  readonly image: () => View;
  readonly events: () => readonly Event[];
};

/** Returns the view after an event. */
export type Fold<View, Event> = (view: View, event: Event) => View;

/** Opens a journal that replaces its image by the latest view, and drops its events, once it holds `limit` events. */
export const openJournal = <View, Event>(start: View, fold: Fold<View, Event>, limit: number): Journal<View, Event> => {
  let imageView = start;
  let latestView = start;
  let tailEvents: Event[] = [];
  return {
    append: (event) => {
      latestView = fold(latestView, event);
      tailEvents.push(event);
      if (tailEvents.length < limit) return;
      imageView = latestView;
      tailEvents = [];
    },
    view: () => latestView,
    image: () => imageView,
    events: () => tailEvents,
  };
};
