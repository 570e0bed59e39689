import { Left, Right, type Either } from 'purify-ts';
import type { Micros } from '../common/micros.js';
import { typedError, type TypedError } from '../common/typed-error.js';
import type { ServerLoad } from '../decision/health/server-load.js';
import type { EngineEffect } from '../emulator/engine/engine-effect.js';
import type { EngineFigures } from '../emulator/engine/engine-figures.js';
import { startEngineView } from '../emulator/engine/engine-view.js';
import { engineDueUs, stepEngine } from '../emulator/engine/step-engine.js';
import { startWebView, stepWeb, webDueUs, type WebEffect } from '../emulator/web/web-server.js';
import type { OpaqueResponseListener } from '../servers/link/opaque-response-listener.js';
import type { OpaqueRequest } from '../servers/link/opaque-request.js';
import type { ServerLink } from '../servers/link/server-link.js';
import type { ListedServer } from '../servers/list/listed-server.js';
import { serverKeyOf } from '../servers/list/server-key.js';
import type { World } from '../sim/world/world.js';

/** What is wrong with a server. */
export type ServerFault =
  /** It says nothing, to anyone. */
  | { readonly type: 'dark' }
  /** It has ended: connections are reset and refused. */
  | { readonly type: 'crash' }
  | { readonly type: 'slow'; readonly times: number }
  /** It takes connections, and breaks off or never answers a part of what it gets. */
  | { readonly type: 'reset' | 'mute'; readonly part: number };

/** A server on virtual time. */
export type EmulatedServer = {
  readonly listed: ListedServer;
  readonly dial: (delayUs: Micros) => Promise<Either<TypedError, ServerLink>>;
  readonly strike: (fault: ServerFault | undefined) => void;
  readonly arrivals: () => number;
  /** Prompt tokens read so far. */
  readonly readTokens: () => number;
};

export type EmulatedServerPlan = {
  readonly world: World;
  readonly listed: ListedServer;
  readonly engine: EngineFigures | undefined;
  readonly web: { readonly slots: number; readonly queue: number };
  /** How long a web request is worked on, by its name. */
  readonly workUsOf: (order: OpaqueRequest) => Micros;
};

type Machine = {
  readonly order: (name: string, order: OpaqueRequest, dueUs: Micros) => void;
  readonly cancel: (name: string) => void;
  readonly load: () => ServerLoad;
  readonly readTokens: () => number;
  readonly slowDown: (times: number) => void;
  readonly clear: () => void;
};

const dialTimeoutUs: Micros = 400_000;
const usualUrgency = 5;
const eventOf = (id: number): Buffer => Buffer.from(`id: ${id}\ndata\n\n`);

/** Wakes a machine whenever something in it falls due. */
const openWaker = (world: World, dueUs: () => Micros | undefined, advance: () => void) => {
  let plannedUs = Number.POSITIVE_INFINITY;
  const plan = (): void => {
    const next = dueUs();
    if (next === undefined || next >= plannedUs) return;
    plannedUs = next;
    world.after(Math.ceil(next - world.now()), () => {
      if (plannedUs !== next) return;
      plannedUs = Number.POSITIVE_INFINITY;
      advance();
      plan();
    });
  };
  return plan;
};

const engineMachine = (world: World, usual: EngineFigures, tell: (effect: EngineEffect) => void): Machine => {
  let view = startEngineView(usual);
  const take = (event: Parameters<typeof stepEngine>[1]): void => {
    const step = stepEngine(view, event);
    view = step.view;
    step.effects.forEach(tell);
  };
  const plan = openWaker(
    world,
    () => engineDueUs(view),
    () => take({ type: 'time', at: world.now() }),
  );
  return {
    order: (name, { exchange, resumeAfter = '0', urgency = usualUrgency }, dueUs) => {
      const { opening, readTokens, writeTokens } = exchange;
      const order = { name, opening, readTokens, writeTokens, fromPiece: Number(resumeAfter), urgency, dueUs };
      take({ type: 'order', at: world.now(), order });
      plan();
    },
    cancel: (name) => {
      take({ type: 'cancel', at: world.now(), name });
      plan();
    },
    load: () => ({ running: view.batch.length, waiting: view.waiting.length, slots: view.figures.slots }),
    readTokens: () => view.readTokens,
    slowDown: (times) => {
      const figures: EngineFigures = {
        ...usual,
        stepUs: usual.stepUs * times,
        perRunningUs: usual.perRunningUs * times,
        contextUsPerThousand: usual.contextUsPerThousand * times,
        readTokensPerMs: usual.readTokensPerMs / times,
        pairsUsPerMillion: usual.pairsUsPerMillion * times,
      };
      view = { ...view, figures };
    },
    clear: () => {
      const { readTokens } = view;
      view = { ...startEngineView(usual), atUs: world.now(), readTokens };
    },
  };
};

const webMachine = (
  world: World,
  { web, workUsOf }: EmulatedServerPlan,
  tell: (effect: WebEffect) => void,
): Machine => {
  let view = startWebView(web);
  let slowTimes = 1;
  const take = (event: Parameters<typeof stepWeb>[1]): void => {
    const step = stepWeb(view, event);
    view = step.view;
    step.effects.forEach(tell);
  };
  const plan = openWaker(
    world,
    () => webDueUs(view),
    () => take({ type: 'time', at: world.now() }),
  );
  return {
    order: (name, order, dueUs) => {
      take({ type: 'order', at: world.now(), order: { name, workUs: Math.ceil(workUsOf(order) * slowTimes), dueUs } });
      plan();
    },
    cancel: (name) => {
      take({ type: 'cancel', at: world.now(), name });
      plan();
    },
    load: () => ({ running: view.running.length, waiting: view.waiting.length, slots: web.slots }),
    readTokens: () => 0,
    slowDown: (times) => {
      slowTimes = times;
    },
    clear: () => {
      view = { ...startWebView(web), atUs: world.now() };
    },
  };
};

type Running = {
  readonly listener: OpaqueResponseListener;
  readonly delayUs: Micros;
  isMute: boolean;
  hasHead: boolean;
};

/** Opens a server; what it says reaches the other side after the delay of the connection. */
export const openEmulatedServer = (plan: EmulatedServerPlan): EmulatedServer => {
  const { world, listed, engine } = plan;
  const running = new Map<string, Running>();
  const openLinks = new Set<() => void>();
  let fault: ServerFault | undefined;
  let arrivals = 0;
  let names = 0;

  const say = (name: string, act: (listener: OpaqueResponseListener) => void): void => {
    const made = running.get(name);
    if (made === undefined || made.isMute || fault?.type === 'dark') return;
    world.after(made.delayUs, () => act(made.listener));
  };

  const begin = (name: string, ran: boolean): void => {
    const made = running.get(name);
    if (made === undefined || made.hasHead) return;
    made.hasHead = true;
    const load = machine.load();
    say(name, ({ head }) =>
      head({ status: ran ? 200 : 503, headers: [], ran, sealed: true, isEventStream: engine !== undefined, load }),
    );
  };

  const tell = (effect: EngineEffect | WebEffect): void => {
    const { name } = effect;
    switch (effect.type) {
      case 'began':
        if (engine !== undefined) begin(name, true);
        return;
      case 'piece': {
        const { piece } = effect;
        say(name, (listener) => listener.data(eventOf(piece + 1)));
        return;
      }
      case 'done':
        begin(name, true);
        say(name, (listener) => listener.end());
        running.delete(name);
        return;
      case 'turnedAway':
        begin(name, false);
        say(name, (listener) => listener.end());
        running.delete(name);
        return;
      case 'overdue':
        say(name, (listener) => listener.lost('its time is over'));
        running.delete(name);
        return;
      case 'putBack':
        return;
    }
  };

  const machine = engine === undefined ? webMachine(world, plan, tell) : engineMachine(world, engine, tell);

  const arrive = (name: string, order: OpaqueRequest, listener: OpaqueResponseListener, delayUs: Micros): void => {
    if (fault?.type === 'dark') return;
    arrivals += 1;
    const fails = (fault?.type === 'reset' || fault?.type === 'mute') && world.chance() < fault.part;
    if (fails && fault?.type === 'reset') {
      world.after(delayUs, () => listener.lost('reset'));
      return;
    }
    running.set(name, { listener, delayUs, isMute: fails, hasHead: false });
    machine.order(name, order, world.now() + order.budgetUs);
  };

  const linkAfter = (delayUs: Micros): ServerLink => {
    let isOpen = true;
    const close = (): void => {
      isOpen = false;
      openLinks.delete(close);
    };
    openLinks.add(close);
    return {
      key: serverKeyOf(listed),
      isOpen: () => isOpen,
      close,
      probe: () => Promise.resolve(isOpen),
      deliver: () => Promise.reject(new Error('an emulated server carries opaque exchanges only')),
      forward: (order, listener) => {
        names += 1;
        const name = `${listed.id}-${names}`;
        world.after(delayUs, () => arrive(name, order, listener, delayUs));
        return {
          pause: () => undefined,
          resume: () => undefined,
          cancel: () => {
            close();
            world.after(delayUs, () => {
              running.delete(name);
              machine.cancel(name);
            });
          },
        };
      },
    };
  };

  const end = (): void => {
    for (const { listener, delayUs } of running.values()) world.after(delayUs, () => listener.lost('crashed'));
    running.clear();
    for (const close of [...openLinks]) close();
  };

  return {
    listed,
    dial: (delayUs) =>
      new Promise((resolve) => {
        const isDark = fault?.type === 'dark';
        const isDown = fault?.type === 'crash';
        world.after(isDark ? dialTimeoutUs : 2 * delayUs, () =>
          resolve(
            isDark || isDown
              ? Left(typedError(isDown ? 'link-refused' : 'link-error', 'no connection came up'))
              : Right(linkAfter(delayUs)),
          ),
        );
      }),
    strike: (next) => {
      if (next?.type === 'crash') end();
      if (next?.type === 'crash' || next?.type === 'dark') machine.clear();
      if (next?.type === 'dark') running.clear();
      machine.slowDown(next?.type === 'slow' ? next.times : 1);
      fault = next;
    },
    arrivals: () => arrivals,
    readTokens: machine.readTokens,
  };
};
