/** An in-memory journal: events after an image, and the view folded from both. */
export type Journal<View, Event> = {
  readonly append: (event: Event) => void;
  readonly view: () => View;
  readonly image: () => View;
  readonly events: () => readonly Event[];
};

export type Fold<View, Event> = (view: View, event: Event) => View;

/** Opens a journal whose tail is folded into the image once it holds `limit` events. */
export const openJournal = <View, Event>(start: View, fold: Fold<View, Event>, limit: number): Journal<View, Event> => {
  let imageView = start;
  let currentView = start;
  let tailEvents: Event[] = [];
  return {
    append: (event) => {
      currentView = fold(currentView, event);
      tailEvents.push(event);
      if (tailEvents.length < limit) return;
      imageView = currentView;
      tailEvents = [];
    },
    view: () => currentView,
    image: () => imageView,
    events: () => tailEvents,
  };
};
