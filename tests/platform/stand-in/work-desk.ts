import type { EngineEffect } from '../../../src/emulator/engine/engine-effect.js';
import type { EngineEvent } from '../../../src/emulator/engine/engine-event.js';
import type { EngineFigures } from '../../../src/emulator/engine/engine-figures.js';
import type { EngineOrder } from '../../../src/emulator/engine/engine-order.js';
import { startEngineView } from '../../../src/emulator/engine/engine-view.js';
import { engineDueUs, stepEngine } from '../../../src/emulator/engine/step-engine.js';
import {
  startWebView,
  stepWeb,
  webDueUs,
  type WebEffect,
  type WebEvent,
  type WebFigures,
} from '../../../src/emulator/web/web-server.js';
import { drive } from './drive.js';

/** What becomes of work that a server took on. */
export type WorkListener = {
  readonly turnedAway: () => void;
  readonly began: (version: number) => void;
  readonly piece: (piece: number, version: number) => void;
  readonly done: () => void;
  readonly overdue: () => void;
};

/** The work of a server, played by its emulator. */
export type WorkDesk = {
  readonly take: (order: Omit<EngineOrder, 'dueUs'> & { readonly budgetUs: number }, listener: WorkListener) => void;
  readonly cancel: (name: string) => void;
  readonly setWeights: (version: number) => void;
  readonly active: () => number;
  readonly close: () => void;
};

export const openEngineDesk = (figures: EngineFigures): WorkDesk => {
  const listeners = new Map<string, WorkListener>();
  let view = startEngineView(figures);
  const driven = drive<EngineEvent, EngineEffect>(
    (event) => {
      const stepped = stepEngine(view, event);
      view = stepped.view;
      return { effects: stepped.effects, dueUs: engineDueUs(view) };
    },
    (at) => ({ type: 'time', at }),
    (effect) => {
      const heard = listeners.get(effect.name);
      if (effect.type === 'began') heard?.began(effect.version);
      else if (effect.type === 'piece') heard?.piece(effect.piece, effect.version);
      else if (effect.type !== 'putBack') {
        listeners.delete(effect.name);
        heard?.[effect.type]();
      }
    },
  );
  return {
    take: ({ budgetUs, ...order }, told) => {
      listeners.set(order.name, told);
      driven.take((at) => ({ type: 'order', at, order: { ...order, dueUs: at + budgetUs } }));
    },
    cancel: (name) => {
      if (listeners.delete(name)) driven.take((at) => ({ type: 'cancel', at, name }));
    },
    setWeights: (version) => driven.take((at) => ({ type: 'weights', at, version })),
    active: () => view.batch.length,
    close: driven.close,
  };
};

export const openWebDesk = (figures: WebFigures, workUs: number): WorkDesk => {
  const listeners = new Map<string, WorkListener>();
  let view = startWebView(figures);
  const driven = drive<WebEvent, WebEffect>(
    (event) => {
      const stepped = stepWeb(view, event);
      view = stepped.view;
      return { effects: stepped.effects, dueUs: webDueUs(view) };
    },
    (at) => ({ type: 'time', at }),
    (effect) => {
      const heard = listeners.get(effect.name);
      if (effect.type === 'began') heard?.began(0);
      else {
        listeners.delete(effect.name);
        heard?.[effect.type]();
      }
    },
  );
  return {
    take: ({ name, budgetUs }, told) => {
      listeners.set(name, told);
      driven.take((at) => ({ type: 'order', at, order: { name, workUs, dueUs: at + budgetUs } }));
    },
    cancel: (name) => {
      if (listeners.delete(name)) driven.take((at) => ({ type: 'cancel', at, name }));
    },
    setWeights: () => undefined,
    active: () => view.running.length,
    close: driven.close,
  };
};
