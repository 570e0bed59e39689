import type { Micros } from '../../common/micros.js';
import type { EngineEffect } from './engine-effect.js';
import type { EngineEvent } from './engine-event.js';
import { freed, heldTokens, keptOf, pin, shared, tokensOf, unpin, usedTokens } from './engine-memory.js';
import type { EngineOrder } from './engine-order.js';
import type { EngineRun } from './engine-run.js';
import type { EngineStep, EngineView } from './engine-view.js';

export type EngineStepped = {
  readonly view: EngineView;
  readonly effects: readonly EngineEffect[];
};

const isBefore = (left: EngineRun, right: EngineRun): boolean =>
  left.order.urgency < right.order.urgency ||
  (left.order.urgency === right.order.urgency && left.arrival < right.arrival);

const queued = (waiting: readonly EngineRun[], run: EngineRun): readonly EngineRun[] => {
  const place = waiting.findIndex((other) => isBefore(run, other));
  return place < 0 ? [...waiting, run] : [...waiting.slice(0, place), run, ...waiting.slice(place)];
};

const contextOf = (run: EngineRun): number => run.order.readTokens - run.toRead + run.written;

const released = (view: EngineView, run: EngineRun): EngineView => ({
  ...view,
  batch: view.batch.filter((other) => other !== run),
  kept: unpin(view.kept, run.pinned),
});

/** The newest of the least urgent. */
const lastOf = (batch: readonly EngineRun[]): EngineRun | undefined =>
  batch.reduce<EngineRun | undefined>(
    (last, run) => (last === undefined || isBefore(last, run) ? run : last),
    undefined,
  );

const putBack = (view: EngineView, run: EngineRun): EngineStepped => {
  const backView = released(view, run);
  return {
    view: { ...backView, waiting: queued(backView.waiting, { ...run, toRead: 0, ownTokens: 0, pinned: [] }) },
    effects: [{ type: 'putBack', at: view.atUs, name: run.order.name }],
  };
};

/** The order in the batch, with what is kept of it pinned; none where the memory has no room for it. */
const entered = (view: EngineView, run: EngineRun): EngineView | undefined => {
  const parts = keptOf(view, run.order);
  const keptTokens = Math.min(tokensOf(view.kept, parts), run.order.readTokens);
  const ownTokens = run.order.readTokens - keptTokens + run.written;
  const pinnedView = { ...view, kept: pin(view.kept, parts) };
  const wanted = ownTokens + 1;
  if (heldTokens(pinnedView) + wanted > view.figures.memoryTokens) return undefined;
  const roomyView = freed(pinnedView, wanted);
  const toRead = Math.max(Math.min(view.figures.block, run.order.readTokens), ownTokens);
  return {
    ...roomyView,
    waiting: view.waiting.filter((other) => other !== run),
    batch: [...view.batch, { ...run, toRead, ownTokens, pinned: parts }],
  };
};

const admitted = (start: EngineView): EngineStepped => {
  const effects: EngineEffect[] = [];
  let view = start;
  for (;;) {
    const { atUs } = view;
    const next = view.waiting.find((run) => run.enterUs <= atUs);
    if (next === undefined) return { view, effects };
    const enteredView = view.batch.length < view.figures.slots ? entered(view, next) : undefined;
    if (enteredView !== undefined) {
      view = enteredView;
      continue;
    }
    const last = lastOf(view.batch);
    if (last === undefined || last.order.urgency <= next.order.urgency) return { view, effects };
    const back = putBack(view, last);
    view = back.view;
    effects.push(...back.effects);
  }
};

/** Shares the piece of prompt that a step reads among those that wait for it, the first in the batch first. */
const readsOf = ({ batch, figures }: EngineView): ReadonlyMap<string, number> => {
  const reads = new Map<string, number>();
  let left = figures.chunk;
  for (const { order, toRead } of batch) {
    const tokens = Math.min(left, toRead);
    if (tokens > 0) reads.set(order.name, tokens);
    left -= tokens;
  }
  return reads;
};

const stepUsOf = ({ batch, figures }: EngineView, reads: ReadonlyMap<string, number>): Micros => {
  const context = batch.reduce((sum, run) => sum + contextOf(run), 0);
  const readTokens = [...reads.values()].reduce((sum, tokens) => sum + tokens, 0);
  const pairs = batch.reduce((sum, run) => {
    const tokens = reads.get(run.order.name) ?? 0;
    return sum + tokens * (contextOf(run) + tokens / 2);
  }, 0);
  return Math.max(
    1,
    Math.round(
      figures.stepUs +
        figures.perRunningUs * batch.length +
        (figures.contextUsPerThousand * context) / 1000 +
        (readTokens * 1000) / figures.readTokensPerMs +
        (figures.pairsUsPerMillion * pairs) / 1_000_000,
    ),
  );
};

const begun = (view: EngineView): EngineStepped => {
  const inside = admitted(view);
  if (inside.view.batch.length === 0) return inside;
  const reads = readsOf(inside.view);
  const step: EngineStep = { endsUs: view.atUs + stepUsOf(inside.view, reads), reads };
  return { ...inside, view: { ...inside.view, step } };
};

const stepsOf = (tokens: number, stride: number): number => Math.ceil(tokens / stride);

/** One token more; a piece is given when it is full or the last. */
const wrote = (view: EngineView, run: EngineRun): EngineStepped => {
  const { stride } = view.figures;
  const { name, writeTokens } = run.order;
  const { atUs: at, version } = view;
  const written = run.written + 1;
  const isLast = written >= writeTokens;
  const next: EngineRun = { ...run, written, ownTokens: run.ownTokens + 1, hasBegun: true };
  const roomyView = freed({ ...view, batch: view.batch.map((other) => (other === run ? next : other)) }, 0);
  const effects: EngineEffect[] = [
    ...(run.hasBegun ? [] : [{ type: 'began', at, name, version } as const]),
    ...(isLast || written % stride === 0
      ? [{ type: 'piece', at, name, piece: stepsOf(written, stride) - 1, version } as const]
      : []),
    ...(isLast ? [{ type: 'done', at, name } as const] : []),
  ];
  return { view: isLast ? released(roomyView, next) : roomyView, effects };
};

const read = (view: EngineView, run: EngineRun, tokens: number): EngineView => {
  const rest = { ...run, toRead: run.toRead - tokens };
  const whole = rest.toRead > 0 ? { kept: view.kept, run: rest } : shared(view, rest);
  return {
    ...view,
    readTokens: view.readTokens + tokens,
    kept: whole.kept,
    batch: view.batch.map((other) => (other === run ? whole.run : other)),
  };
};

const ended = (start: EngineView, { endsUs, reads }: EngineStep): EngineStepped => {
  const effects: EngineEffect[] = [];
  let view: EngineView = { ...start, atUs: endsUs, step: undefined };
  for (const { order } of start.batch) {
    const find = (): EngineRun | undefined => view.batch.find((run) => run.order.name === order.name);
    const run = find();
    if (run === undefined) continue;
    const tokens = reads.get(order.name) ?? 0;
    if (tokens > 0) view = read(view, run, tokens);
    const readRun = find();
    if (readRun === undefined || readRun.toRead > 0) continue;
    const written = wrote(view, readRun);
    view = written.view;
    effects.push(...written.effects);
  }
  while (usedTokens(view) > view.figures.memoryTokens) {
    const last = lastOf(view.batch);
    if (last === undefined) break;
    const back = putBack(view, last);
    view = freed(back.view, 0);
    effects.push(...back.effects);
  }
  return { view, effects };
};

const dropLate = (view: EngineView): EngineStepped => {
  const isLate = ({ order }: EngineRun): boolean => order.dueUs <= view.atUs;
  const late = [...view.waiting, ...view.batch].filter(isLate);
  if (late.length === 0) return { view, effects: [] };
  return {
    view: { ...view.batch.filter(isLate).reduce(released, view), waiting: view.waiting.filter((run) => !isLate(run)) },
    effects: late.map(({ order: { name }, hasBegun }) =>
      hasBegun ? { type: 'overdue', at: view.atUs, name } : { type: 'turnedAway', at: view.atUs, name, cause: 'late' },
    ),
  };
};

/** When something happens next if nothing comes from outside. */
export const engineDueUs = (view: EngineView): Micros | undefined => {
  const moments = [
    ...(view.step === undefined ? view.waiting.map((run) => Math.max(view.atUs, run.enterUs)) : [view.step.endsUs]),
    ...[...view.waiting, ...view.batch].map((run) => run.order.dueUs),
  ];
  return moments.length === 0 ? undefined : Math.min(...moments);
};

const advanced = (start: EngineView, atUs: Micros): EngineStepped => {
  const effects: EngineEffect[] = [];
  let view = start;
  const next = (stepped: EngineStepped): void => {
    view = stepped.view;
    effects.push(...stepped.effects);
  };
  for (let dueUs = engineDueUs(view); dueUs !== undefined && dueUs <= atUs; dueUs = engineDueUs(view)) {
    const { step } = view;
    if (step !== undefined && step.endsUs <= dueUs) next(ended(view, step));
    else view = { ...view, atUs: Math.max(view.atUs, dueUs) };
    next(dropLate(view));
    if (view.step === undefined) next(begun(view));
  }
  return { view: { ...view, atUs: Math.max(view.atUs, atUs) }, effects };
};

const ordered = (view: EngineView, order: EngineOrder): EngineStepped => {
  const turnedAway = (cause: 'full' | 'oversized' | 'late'): EngineStepped => ({
    view,
    effects: [{ type: 'turnedAway', at: view.atUs, name: order.name, cause }],
  });
  const { memoryTokens, queue, slots, entryUs, stride } = view.figures;
  if (order.readTokens + order.writeTokens > memoryTokens) return turnedAway('oversized');
  if (order.dueUs <= view.atUs) return turnedAway('late');
  if (view.waiting.length + view.batch.length >= queue + slots) return turnedAway('full');
  const run: EngineRun = {
    order,
    arrival: view.arrivals,
    enterUs: view.atUs + entryUs,
    toRead: 0,
    ownTokens: 0,
    pinned: [],
    written: Math.min(order.fromPiece * stride, Math.max(0, order.writeTokens - 1)),
    hasBegun: false,
  };
  return { view: { ...view, arrivals: view.arrivals + 1, waiting: queued(view.waiting, run) }, effects: [] };
};

const cancelled = (view: EngineView, name: string): EngineView => {
  const running = view.batch.find((run) => run.order.name === name);
  const restView = running === undefined ? view : released(view, running);
  return { ...restView, waiting: restView.waiting.filter((run) => run.order.name !== name) };
};

/** A model server's engine on virtual time: it first does all that falls due until the event, then takes the event in. */
export const stepEngine = (view: EngineView, event: EngineEvent): EngineStepped => {
  const moved = advanced(view, event.at);
  switch (event.type) {
    case 'time':
      return moved;
    case 'order': {
      const stepped = ordered(moved.view, event.order);
      return { view: stepped.view, effects: [...moved.effects, ...stepped.effects] };
    }
    case 'cancel':
      return { ...moved, view: cancelled(moved.view, event.name) };
    case 'weights':
      return {
        ...moved,
        view: {
          ...moved.view,
          version: event.version,
          kept: new Map([...moved.view.kept].filter(([, part]) => part.users > 0)),
        },
      };
  }
};
