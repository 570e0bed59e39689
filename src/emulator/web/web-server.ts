import type { Micros } from '../../common/micros.js';

/** How a plain web server behaves. */
export type WebFigures = {
  readonly slots: number;
  /** What may wait; any more is turned away. */
  readonly queue: number;
};

export type WebOrder = {
  readonly name: string;
  readonly workUs: Micros;
  readonly dueUs: Micros;
};

export type WebEvent =
  | { readonly type: 'order'; readonly at: Micros; readonly order: WebOrder }
  | { readonly type: 'cancel'; readonly at: Micros; readonly name: string }
  | { readonly type: 'time'; readonly at: Micros };

export type WebEffect =
  | { readonly type: 'turnedAway'; readonly at: Micros; readonly name: string; readonly cause: 'full' | 'late' }
  | { readonly type: 'began'; readonly at: Micros; readonly name: string }
  | { readonly type: 'done'; readonly at: Micros; readonly name: string };

type WebRun = WebOrder & { readonly endsUs: Micros };

export type WebView = {
  readonly figures: WebFigures;
  readonly atUs: Micros;
  readonly waiting: readonly WebOrder[];
  readonly running: readonly WebRun[];
};

export type WebStepped = { readonly view: WebView; readonly effects: readonly WebEffect[] };

export const startWebView = (figures: WebFigures): WebView => ({ figures, atUs: 0, waiting: [], running: [] });

export const webDueUs = ({ waiting, running }: WebView): Micros | undefined => {
  const moments = [...running.map((run) => run.endsUs), ...waiting.map((order) => order.dueUs)];
  return moments.length === 0 ? undefined : Math.min(...moments);
};

const begun = (view: WebView): WebStepped => {
  const starting = view.waiting.slice(0, Math.max(0, view.figures.slots - view.running.length));
  return {
    view: {
      ...view,
      waiting: view.waiting.slice(starting.length),
      running: [...view.running, ...starting.map((order) => ({ ...order, endsUs: view.atUs + order.workUs }))],
    },
    effects: starting.map(({ name }) => ({ type: 'began', at: view.atUs, name })),
  };
};

const settled = (start: WebView, atUs: Micros): WebStepped => {
  const view = { ...start, atUs };
  const isLate = ({ dueUs }: WebOrder): boolean => dueUs <= atUs;
  const restView = {
    ...view,
    running: view.running.filter((run) => run.endsUs > atUs),
    waiting: view.waiting.filter((order) => !isLate(order)),
  };
  const next = begun(restView);
  return {
    view: next.view,
    effects: [
      ...view.running
        .filter((run) => run.endsUs <= atUs)
        .map(({ name }): WebEffect => ({ type: 'done', at: atUs, name })),
      ...view.waiting
        .filter(isLate)
        .map(({ name }): WebEffect => ({ type: 'turnedAway', at: atUs, name, cause: 'late' })),
      ...next.effects,
    ],
  };
};

/** A plain web server on virtual time. */
export const stepWeb = (start: WebView, event: WebEvent): WebStepped => {
  const effects: WebEffect[] = [];
  let view = start;
  for (let dueUs = webDueUs(view); dueUs !== undefined && dueUs <= event.at; dueUs = webDueUs(view)) {
    const stepped = settled(view, Math.max(view.atUs, dueUs));
    view = stepped.view;
    effects.push(...stepped.effects);
  }
  view = { ...view, atUs: Math.max(view.atUs, event.at) };
  switch (event.type) {
    case 'time':
      return { view, effects };
    case 'cancel': {
      const next = begun({
        ...view,
        waiting: view.waiting.filter(({ name }) => name !== event.name),
        running: view.running.filter(({ name }) => name !== event.name),
      });
      return { view: next.view, effects: [...effects, ...next.effects] };
    }
    case 'order': {
      const { order } = event;
      if (
        order.dueUs <= view.atUs ||
        view.waiting.length + view.running.length >= view.figures.slots + view.figures.queue
      )
        return {
          view,
          effects: [
            ...effects,
            { type: 'turnedAway', at: view.atUs, name: order.name, cause: order.dueUs <= view.atUs ? 'late' : 'full' },
          ],
        };
      const next = begun({ ...view, waiting: [...view.waiting, order] });
      return { view: next.view, effects: [...effects, ...next.effects] };
    }
  }
};
