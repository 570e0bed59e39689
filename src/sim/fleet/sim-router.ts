import type { Micros } from '../../common/micros.js';
import type { Decision } from '../../decision/machine/effect/decision.js';
import type { DecisionEvent } from '../../decision/machine/event/decision-event.js';
import { stepDecision } from '../../decision/machine/step/step.js';
import { startDecisionView, type DecisionView } from '../../decision/machine/view/decision-view.js';
import { prefixOf } from '../../decision/ring/prefix.js';
import { serverKeyOf } from '../../servers/list/server-key.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import { claimBudgetOf } from '../../router/exchange/claim-budget.js';
import { askCore } from '../core/core-client.js';
import type { CoreFleet } from '../core/core-fleet.js';
import { openChannel } from '../world/channel.js';
import type { Network } from '../world/network.js';
import type { World } from '../world/world.js';
import type { SimCall } from './sim-call.js';
import { openSimNode, type SimNode } from './sim-node.js';
import type { SimServer } from './sim-server.js';
import { openSimSpread, type SimSpread } from './sim-spread.js';

/** A router in the virtual world: the real machines, with links and timers in place of sockets and clocks. */
export type SimRouter = {
  readonly name: string;
  readonly address: string;
  readonly node: SimNode;
  readonly spread: SimSpread;
  readonly view: () => DecisionView;
  readonly isReady: () => boolean;
  readonly accept: (call: SimCall) => void;
  readonly start: () => void;
  readonly kill: () => void;
  /** Ends in order, then calls back. */
  readonly terminate: (ended: () => void) => void;
};

export type SimRouterPlan = {
  readonly name: string;
  readonly address: string;
  readonly seeds: () => readonly string[];
  readonly world: World;
  readonly network: Network;
  readonly core: CoreFleet;
  readonly spreadAt: (address: string) => SimSpread | undefined;
  readonly serverAt: (address: string) => SimServer | undefined;
};

type Link = { readonly server: SimServer; readonly key: string; isOpen: boolean };

type Running = {
  readonly call: SimCall;
  readonly exchange: string;
  readonly claimedKey: string | undefined;
  attempt: number;
  pieces: number;
  isEnded: boolean;
};

const tickUs: Micros = 20_000;
const probeUs: Micros = 500_000;
const freezeUs: Micros = 700_000;
const gateUs: Micros = 1_500_000;
const dialUs: Micros = 1_000_000;

export const openSimRouter = ({ name, address, seeds, world, network, core, spreadAt, serverAt }: SimRouterPlan): SimRouter => {
  const node = openSimNode(world);
  let view = startDecisionView;
  let running = new Map<string, Running>();
  let idleLinks = new Map<string, Link[]>();
  let links = new Set<Link>();
  let misses = new Map<string, number>();
  let probed = new Set<string>();
  let isConfirmed = false;
  let isStopping = false;
  let isDraining = false;
  let isShut = false;
  let gateWaiters: ((isFresh: boolean) => void)[] = [];
  let beatUs = 0;
  let count = 0;
  /** Calls that have come but are not exchanges yet. */
  let arriving = new Set<SimCall>();

  const spread = openSimSpread({
    name,
    role: 'router',
    address: () => address,
    seeds,
    node,
    world,
    network,
    spreadAt,
    hear: (effect) => {
      if (effect.type === 'setup') take({ type: 'setup', at: world.now(), record: effect.record });
      if (effect.type === 'time') take({ type: 'time', at: world.now(), platformUs: effect.platformUs });
      if (effect.type === 'list') {
        take({ type: 'list', at: world.now(), list: effect.list });
        const keys = new Set(effect.list.servers.map(serverKeyOf));
        for (const [key, idle] of idleLinks) if (!keys.has(key)) idle.forEach(closeLink);
        for (const server of effect.list.servers) {
          if (probed.has(serverKeyOf(server))) continue;
          probed.add(serverKeyOf(server));
          node.later(world.chance() * probeUs, () => probe(server));
        }
      }
      if (effect.type === 'refreshed') {
        isShut = false;
        const waiters = gateWaiters;
        gateWaiters = [];
        for (const waiter of waiters) waiter(true);
      }
    },
  });

  const beat = (): void => {
    const silentUs = world.now() - beatUs;
    beatUs = world.now();
    if (silentUs < freezeUs) return;
    isShut = true;
    spread.take({ type: 'refresh', at: world.now() });
  };
  const passGate = (go: (isFresh: boolean) => void): void => {
    beat();
    if (!isShut) {
      go(true);
      return;
    }
    let isGone = false;
    const once = (isFresh: boolean): void => {
      if (isGone) return;
      isGone = true;
      go(isFresh);
    };
    gateWaiters.push(once);
    node.later(gateUs, () => once(false));
  };

  const closeLink = (link: Link): void => {
    link.isOpen = false;
    links.delete(link);
    idleLinks.set(
      link.key,
      (idleLinks.get(link.key) ?? []).filter((idle) => idle !== link),
    );
  };

  const watchLink = (link: Link): void => {
    if (!link.isOpen) return;
    if (!link.server.isUp() && !network.isCut(link.server.listed.address, address)) closeLink(link);
    else node.later(20_000, () => watchLink(link));
  };

  /** Dials and confirms on the same connection; nothing at all comes back through a cut. */
  const dial = (server: ListedServer, hear: (link: Link | undefined, refused: boolean) => void): void => {
    let isDone = false;
    const finish = (link: Link | undefined, refused: boolean): void => {
      if (isDone) return;
      isDone = true;
      hear(link, refused);
    };
    node.later(dialUs, () => finish(undefined, false));
    network.send(address, server.address, () => {
      const reached = serverAt(server.address);
      const back = (link: Link | undefined, refused: boolean): void =>
        network.send(server.address, address, () => node.run(() => finish(link, refused)));
      if (reached === undefined || !reached.isUp()) back(undefined, true);
      else if (reached.isDark()) return;
      else if (serverKeyOf(reached.listed) !== serverKeyOf(server)) back(undefined, true);
      else back({ server: reached, key: serverKeyOf(server), isOpen: true }, false);
    });
  };

  const probe = (server: ListedServer): void => {
    const key = serverKeyOf(server);
    if (!(view.list?.servers.some((listed) => serverKeyOf(listed) === key) ?? false)) {
      probed.delete(key);
      return;
    }
    dial(server, (link, refused) => {
      const missCount = link === undefined ? (misses.get(key) ?? 0) + 1 : 0;
      misses.set(key, missCount);
      if (link !== undefined) take({ type: 'light', at: world.now(), server: key });
      else if (refused || missCount >= 3) {
        for (const cutLink of [...links]) if (cutLink.key === key) closeLink(cutLink);
        take({ type: 'dark', at: world.now(), server: key });
      }
      node.later(probeUs, () => probe(server));
    });
  };

  const end = (run: Running, finish: (call: SimCall) => void): void => {
    if (run.isEnded) return;
    run.isEnded = true;
    running.delete(run.exchange);
    finish(run.call);
  };

  const pending: DecisionEvent[] = [];
  let isTaking = false;
  const take = (event: DecisionEvent): void => {
    pending.push(event);
    if (isTaking) return;
    isTaking = true;
    for (let next = pending.shift(); next !== undefined; next = pending.shift()) {
      const step = stepDecision(view, next);
      view = step.view;
      step.effects.forEach(carryOut);
    }
    isTaking = false;
  };

  const carryOut = (decision: Decision): void => {
    if (!('exchange' in decision)) return;
    const run = running.get(decision.exchange);
    if (run === undefined) return;
    switch (decision.type) {
      case 'deliver':
        run.attempt = decision.attempt;
        attemptOn(run, decision);
        return;
      case 'hold':
        return;
      case 'cancel':
        run.attempt = -1;
        return;
      case 'refuse':
        end(run, (call) => {
          if (run.claimedKey !== undefined) release(run.claimedKey, run.exchange);
          call.hearEnd('refused', decision.error, '1');
        });
        return;
      case 'unknown':
        end(run, (call) => call.hearEnd('unknown', decision.error, undefined));
        return;
      case 'breakOff':
        end(run, (call) => call.hearEnd('cut', decision.error, undefined));
        return;
    }
  };

  const release = (key: string, exchange: string): void =>
    askCore(core, { type: 'propose', command: { type: 'release', key, exchange, atUs: spread.platformUs() } }, 1_000_000, () => undefined, address);

  const attemptOn = (run: Running, decision: Extract<Decision, { readonly type: 'deliver' }>): void => {
    const { attempt, exchange } = decision;
    const isCurrent = (): boolean => !run.isEnded && run.attempt === attempt;
    const unsent = (): void =>
      take({ type: 'failed', at: world.now(), exchange, attempt, sent: false, pieces: run.pieces, error: 'no-link' });
    passGate((isFresh) => {
      if (!isCurrent()) return;
      const server = view.list?.servers.find((listed) => serverKeyOf(listed) === decision.server);
      const isAllowed = (): boolean => view.stage.services.get(decision.reason.service)?.allowed.has(decision.server) ?? false;
      if (!isFresh || server === undefined || !isAllowed()) {
        node.later(0, () => isCurrent() && unsent());
        return;
      }
      const idle = idleLinks.get(decision.server)?.pop();
      const onLink = (link: Link | undefined): void => {
        if (!isCurrent()) return;
        if (link === undefined || isShut || !isAllowed()) {
          unsent();
          return;
        }
        links.add(link);
        send(run, decision, link);
      };
      if (idle?.isOpen === true) node.later(0, () => onLink(idle));
      else
        dial(server, (link) => {
          if (link !== undefined) watchLink(link);
          onLink(link);
        });
    });
  };

  const send = (run: Running, decision: Extract<Decision, { readonly type: 'deliver' }>, link: Link): void => {
    const { attempt, exchange } = decision;
    const serverAddress = link.server.listed.address;
    const isCurrent = (): boolean => !run.isEnded && run.attempt === attempt;
    const up = openChannel(world, () => network.isCut(address, serverAddress));
    const down = openChannel(world, () => network.isCut(serverAddress, address));
    const lost = (): void => {
      if (isCurrent())
        take({ type: 'failed', at: world.now(), exchange, attempt, sent: true, pieces: run.pieces, error: 'link-lost' });
    };
    const watch = (): void => {
      if (!isCurrent()) return;
      if (!link.isOpen) lost();
      else node.later(20_000, watch);
    };
    take({ type: 'sent', at: world.now(), exchange, attempt });
    watch();
    up.send(() => {
      if (!link.server.isUp()) return;
      link.server.run(
        {
          exchange,
          service: decision.reason.service,
          kind: run.call.kind,
          opening: run.call.opening,
          work: run.call.work,
          call: run.call.call,
          pieces: run.call.pieces,
          fromPiece: decision.fromPiece,
        },
        (line) =>
          down.send(() =>
            node.run(() => {
              if (!isCurrent() || !link.isOpen) return;
              if (line.type === 'end') {
                run.attempt = -1;
                idleLinks.set(link.key, [...(idleLinks.get(link.key) ?? []), link]);
                end(run, (call) => call.hearEnd('complete', undefined, undefined));
                take({ type: 'done', at: world.now(), exchange, attempt });
                return;
              }
              if (line.piece !== run.pieces) {
                lost();
                return;
              }
              run.pieces += 1;
              run.call.hearPiece(line.text);
              if (run.pieces === 1) take({ type: 'firstPiece', at: world.now(), exchange, attempt });
            }),
          ),
      );
    });
  };

  const enter = (call: SimCall, exchange: string, claimedKey: string | undefined): void => {
    const run: Running = { call, exchange, claimedKey, attempt: 0, pieces: 0, isEnded: false };
    running.set(exchange, run);
    const rule = view.record?.setup.rules.find((known) => known.kind === call.kind);
    take({ type: 'exchange', at: world.now(), exchange, kind: call.kind, prefix: prefixOf(rule?.service ?? '', call.opening) });
  };

  const accept = (call: SimCall): void =>
    passGate((isFresh) => {
      if (!isFresh || isDraining || !isConfirmed || view.list === undefined) {
        arriving.delete(call);
        call.hearEnd('refused', isDraining ? 'draining' : 'not-ready', '1');
        return;
      }
      count += 1;
      const exchange = `${name}.${node.boot()}.${count}`;
      const rule = view.record?.setup.rules.find((known) => known.kind === call.kind);
      if (rule === undefined || rule.repeatable || call.key === undefined) {
        arriving.delete(call);
        enter(call, exchange, undefined);
        return;
      }
      const key = `${rule.kind}/${call.key}`;
      const ownBoot = node.boot();
      askCore(
        core,
        { type: 'propose', command: { type: 'claim', key, exchange, atUs: spread.platformUs() } },
        claimBudgetOf(rule),
        (word) => {
          if (node.boot() !== ownBoot) return;
          node.run(() => {
            arriving.delete(call);
            if (word?.type !== 'applied' || word.outcome.type !== 'claimed') call.hearEnd('refused', 'no-claim', '1');
            else if (word.outcome.won) enter(call, exchange, key);
            else call.hearEnd('repeated', 'repeated-key', undefined);
          });
        },
        address,
      );
    });

  const confirm = (): void => {
    const ownBoot = node.boot();
    askCore(
      core,
      { type: 'read' },
      1_000_000,
      (word) => {
        if (node.boot() !== ownBoot) return;
        node.run(() => {
          if (word?.type === 'record' && word.record !== undefined) {
            spread.take({ type: 'setup', at: world.now(), record: word.record });
            isConfirmed = true;
          } else node.later(200_000, confirm);
        });
      },
      address,
    );
  };

  const tick = (): void => {
    beat();
    take({ type: 'tick', at: world.now() });
    node.later(tickUs, tick);
  };

  const kill = (): void => {
    const lostRuns = [...running.values()];
    const lostCalls = arriving;
    arriving = new Set();
    node.kill();
    for (const call of lostCalls) call.hearEnd('lost', 'node gone', undefined);
    for (const run of lostRuns) end(run, (call) => call.hearEnd('cut', 'node gone', undefined));
  };

  return {
    name,
    address,
    node,
    spread,
    view: () => view,
    isReady: () => isConfirmed && !isStopping && view.list !== undefined && !isShut && !spread.view().isolated,
    accept: (call) => {
      if (!node.isUp()) call.hearEnd('lost', 'node down', undefined);
      else {
        arriving.add(call);
        node.run(() => accept(call));
      }
    },
    start: () => {
      if (node.isUp()) return;
      node.begin();
      view = startDecisionView;
      running = new Map();
      idleLinks = new Map();
      links = new Set();
      misses = new Map();
      probed = new Set();
      isConfirmed = false;
      isStopping = false;
      isDraining = false;
      isShut = false;
      gateWaiters = [];
      beatUs = world.now();
      take({ type: 'node', at: world.now(), node: name });
      spread.begin();
      tick();
      confirm();
    },
    kill,
    terminate: (ended) => {
      isStopping = true;
      const dueUs = world.now() + 8_000_000;
      const check = (): void => {
        if (running.size > 0 && world.now() < dueUs) node.later(20_000, check);
        else {
          kill();
          ended();
        }
      };
      node.later(1_000_000, () => {
        isDraining = true;
        take({ type: 'drain', at: world.now() });
        check();
      });
    },
  };
};
