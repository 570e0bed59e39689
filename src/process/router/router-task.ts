import { longestStepUs } from '../../common/clock/time-bound.js';
import { within } from '../../common/clock/within.js';
import { openJournal } from '../../common/journal.js';
import type { Micros } from '../../common/micros.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { Decision } from '../../decision/machine/effect/decision.js';
import type { DecisionEvent } from '../../decision/machine/event/decision-event.js';
import { stepDecision } from '../../decision/machine/step/step.js';
import { platformUsOf, initialDecisionView, type DecisionView } from '../../decision/machine/view/decision-view.js';
import { defaultPolicy, type DecisionPolicy } from '../../decision/policy.js';
import { prefixOf } from '../../decision/ring/prefix.js';
import { accessOf, isSameCaller, tenantNameOf, type Access } from '../../router/access/access.js';
import type { CallerLink } from '../../router/delivery/caller-link.js';
import { deliver } from '../../router/delivery/deliver.js';
import type { DeliveryEnd } from '../../router/delivery/delivery-end.js';
import { carry } from '../../router/delivery/carry.js';
import type { OpaqueExchange } from '../../router/opaque/opaque-exchange.js';
import { workOf } from '../../decision/work/work-of.js';
import { shareOf } from '../../setup/match/share-of.js';
import type { Continuation } from '../../router/exchange/continuation.js';
import type { QuotaHold } from '../../router/exchange/quota-hold.js';
import type { ExchangeBody } from '../../router/exchange/exchange-body.js';
import { openPromiseChecks } from '../../router/promises/promise-checks.js';
import { openTryChecks } from '../../router/promises/try-checks.js';
import { watchCaller } from '../../router/promises/watched-caller.js';
import { openStoryBook, type StoryBook } from '../../router/explain/story-book.js';
import { openSlab, type Slab } from '../../router/slab/slab.js';
import { ticketName, type Ticket } from '../../router/slab/ticket.js';
import { openLinkPool } from '../../servers/link/link-pool.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import { serverKeyOf, type ServerKey } from '../../servers/list/server-key.js';
import type { Rule } from '../../setup/document/rule.js';
import type { Counters } from '../counters.js';
import type { Log } from '../log.js';
import type { SpreadTask } from '../spread-task.js';
import type { Surroundings } from '../surroundings/surroundings.js';
import type { RefreshGate } from './refresh-gate.js';
import { openServerSignals } from './server-signals.js';
import { openTicks } from './ticks.js';

/** The task that owns the decision machine, the continuations and the links to servers. */
export type RouterTask = {
  readonly view: () => DecisionView;
  readonly stories: StoryBook;
  readonly events: () => readonly DecisionEvent[];
  /** Takes in an exchange that was checked, and claimed where that is due. */
  readonly accept: (arrival: Arrival) => void;
  readonly inFlight: () => number;
  readonly nextExchange: () => string;
  /** Writes down that an exchange was refused before it was taken in. */
  readonly noteRefusal: (
    exchange: string,
    rule: Rule,
    error: TypedError,
    facts?: Readonly<Record<string, unknown>>,
  ) => void;
  readonly drain: () => void;
  readonly start: () => void;
  readonly close: () => void;
};

export type Arrival = {
  readonly rule: Rule;
  readonly body: ExchangeBody;
  /** What is delivered in its stead where the text passes unread. */
  readonly opaque?: OpaqueExchange;
  readonly caller: CallerLink;
  readonly apiKey: string | undefined;
  readonly access: Access;
  /** What was spent of its tenant's quota. */
  readonly quota: QuotaHold;
  readonly claimed: { readonly key: string; readonly exchange: string } | undefined;
};

const restBudgetUs: Micros = 1_000_000;
const journalLimit = 4096;
const mostStories = 4096;
export type RouterTaskParts = {
  readonly node: string;
  readonly spread: SpreadTask;
  readonly gate: RefreshGate;
  readonly log: Log;
  readonly counters: Counters;
  readonly surroundings: Pick<Surroundings, 'clock' | 'dial' | 'freshName' | 'probesNothing'>;
  /** Which parts of the decision are on; all where it is not told. */
  readonly policy?: DecisionPolicy;
  /** Frees the key of an exchange that was refused. */
  readonly release: (claimed: { readonly key: string; readonly exchange: string }) => void;
};

export const openRouterTask = ({
  node,
  spread,
  gate,
  log,
  counters,
  surroundings,
  policy = defaultPolicy,
  release,
}: RouterTaskParts): RouterTask => {
  const { clock, dial, freshName, probesNothing = false } = surroundings;
  const boot = freshName();
  const slab: Slab<Continuation> = openSlab();
  const tickets = new Map<string, Ticket>();
  const stories = openStoryBook(mostStories);
  const pool = openLinkPool(dial);
  const promises = openPromiseChecks({ count: (name) => counters.count(name), log: log.change });
  const tryChecks = openTryChecks(promises);
  let madeDecisions: readonly Decision[] = [];
  let exchangeCount = 0;
  const journal = openJournal<DecisionView, DecisionEvent>(
    { ...initialDecisionView, policy },
    (view, event) => {
      const step = stepDecision(view, event);
      madeDecisions = step.effects;
      return step.view;
    },
    journalLimit,
  );
  const waitingEvents: DecisionEvent[] = [];
  let isTaking = false;
  let takenUs = clock.now();

  const signals = openServerSignals({
    spread,
    clock,
    dial,
    probesNothing,
    pool,
    log,
    counters,
    take: (event) => take(event),
  });

  const find = (exchange: string): Continuation | undefined => {
    const ticket = tickets.get(exchange);
    return ticket === undefined ? undefined : slab.get(ticket);
  };

  const end = (continuation: Continuation): void => {
    continuation.stream.running?.cancel();
    continuation.stream.running = undefined;
    tickets.delete(continuation.exchange);
    slab.free(continuation.ticket);
    continuation.quota.end();
  };

  const take = (event: DecisionEvent): void => {
    const spanUs = event.at - takenUs;
    takenUs = event.at;
    if (spanUs >= longestStepUs) waitingEvents.push({ type: 'gap', at: event.at, spanUs });
    waitingEvents.push(event);
    if (isTaking) return;
    isTaking = true;
    for (let nextEvent = waitingEvents.shift(); nextEvent !== undefined; nextEvent = waitingEvents.shift()) {
      journal.append(nextEvent);
      madeDecisions.forEach(carryOut);
    }
    isTaking = false;
    ticks.plan();
  };

  const tell = (exchange: string, what: string, facts: object): void =>
    stories.add(exchange, { at: clock.now(), what, facts });

  const beginStory = (exchange: string, rule: Rule): void =>
    stories.begin({
      exchange,
      kind: rule.kind,
      tier: rule.tier,
      service: rule.service,
      setupRevision: journal.view().record?.revision ?? 0,
      listVersion: journal.view().list?.version ?? 0,
      steps: [],
    });

  const carryOut = (decision: Decision): void => {
    counters.count(`decisions.${decision.type}`);
    switch (decision.type) {
      case 'booked':
      case 'entered':
      case 'withdrawn':
        log.change(decision.type, decision);
        return;
      case 'deliver': {
        tell(decision.exchange, 'deliver', decision);
        counters.count(`reasons.${decision.reason.type}`);
        if (decision.extra) counters.count('tries.extra');
        const continuation = find(decision.exchange);
        if (continuation === undefined) return;
        if (policy.toldWork)
          signals.work(decision.server, continuation.rule.service, decision.tokens ?? 0, decision.busyUs ?? 0);
        startTry(continuation, decision);
        return;
      }
      case 'hold':
        tell(decision.exchange, 'hold', decision);
        return;
      case 'cancel': {
        tell(decision.exchange, 'cancel', decision);
        const continuation = find(decision.exchange);
        if (continuation?.stream.running?.attempt === decision.attempt) continuation.stream.running.cancel();
        return;
      }
      case 'refuse':
        tell(decision.exchange, 'refuse', decision);
        withContinuation(decision.exchange, (continuation) => {
          counters.count(`refused.${decision.error}`);
          if (continuation.claimedKey !== undefined)
            release({ key: continuation.claimedKey, exchange: decision.exchange });
          continuation.caller.refuse(
            typedError(decision.error, 'refused: it did not run and will not'),
            decision.exchange,
            decision.retryAfterUs,
          );
        });
        return;
      case 'unknown':
        tell(decision.exchange, 'unknown', decision);
        withContinuation(decision.exchange, (continuation) => {
          counters.count(`unknown.${decision.error}`);
          const { refusal } = continuation.stream;
          if (refusal !== undefined && continuation.caller.opaque !== undefined) {
            continuation.caller.opaque.whole(refusal.head, refusal.body);
            return;
          }
          continuation.caller.unknown(typedError(decision.error, 'the outcome is unknown: it may have run'), {
            exchange: decision.exchange,
          });
        });
        return;
      case 'breakOff':
        tell(decision.exchange, 'breakOff', decision);
        withContinuation(decision.exchange, (continuation) => {
          counters.count('streams.brokenOff');
          continuation.caller.breakOff();
        });
        return;
    }
  };

  const withContinuation = (exchange: string, use: (continuation: Continuation) => void): void => {
    const continuation = find(exchange);
    if (continuation === undefined) return;
    end(continuation);
    use(continuation);
  };

  const startTry = (continuation: Continuation, decision: Extract<Decision, { readonly type: 'deliver' }>): void => {
    const aborter = new AbortController();
    continuation.stream.running = { attempt: decision.attempt, server: decision.server, cancel: () => aborter.abort() };
    void runTry(continuation, decision, aborter.signal);
  };

  /** A server as the newest list here has it. */
  const listedNow = (key: ServerKey): ListedServer | undefined =>
    journal.view().list?.servers.find((listed) => serverKeyOf(listed) === key);

  const isAllowed = (continuation: Continuation, key: string): boolean =>
    journal.view().topology.services.get(continuation.rule.service)?.allowed.has(key) ?? false;

  /** Whether the newest configuration still has the caller's key for the same tenant; keys may be revoked while it waits. */
  const isStillAllowed = ({ rule, apiKey, access }: Continuation): boolean => {
    const setup = journal.view().record?.setup;
    return setup !== undefined && isSameCaller(access, accessOf(setup, rule, apiKey));
  };

  const runTry = async (
    continuation: Continuation,
    decision: Extract<Decision, { readonly type: 'deliver' }>,
    signal: AbortSignal,
  ): Promise<void> => {
    const { exchange } = continuation;
    const { attempt } = decision;
    const unsent = (error: 'no-link' | 'wrong-service' | 'key-revoked'): void =>
      take({
        type: 'failed',
        at: clock.now(),
        exchange,
        attempt,
        sent: false,
        pieces: continuation.stream.pieces,
        error,
      });
    const isFresh = await gate.pass();
    const server = listedNow(decision.server);
    if (signal.aborted) return;
    if (!isFresh || server === undefined || !isAllowed(continuation, decision.server)) {
      unsent('no-link');
      return;
    }
    const opened = await pool.acquire(server);
    if (signal.aborted) {
      opened.ifRight((link) => pool.release(link));
      return;
    }
    if (opened.isLeft()) {
      opened.ifLeft((error) => {
        counters.count('links.refused');
        tell(exchange, 'no link', { attempt, error });
        if (error.type !== 'bad-message') signals.unreachable(decision.server);
        unsent(error.type === 'bad-message' ? 'wrong-service' : 'no-link');
      });
      return;
    }
    const link = opened.unsafeCoerce();
    if (gate.isShut() || !link.isOpen() || !isAllowed(continuation, decision.server)) {
      pool.release(link);
      unsent('no-link');
      return;
    }
    if (!isStillAllowed(continuation)) {
      pool.release(link);
      counters.count('keys.revokedInFlight');
      unsent('key-revoked');
      return;
    }
    continuation.watch.sent();
    continuation.quota.sent();
    tryChecks.sent({
      exchange,
      rule: continuation.rule,
      server: listedNow(decision.server),
      nowUs: spread.platformUs(),
    });
    take({ type: 'sent', at: clock.now(), exchange, attempt });
    if (continuation.stream.pieces > 0) continuation.stream.dueUs = clock.now() + continuation.rule.firstPieceUs;
    const { opaque } = continuation;
    if (opaque !== undefined && link.forward !== undefined) {
      const order = {
        exchange: opaque,
        budgetUs: Math.max(1_000, continuation.dueUs - clock.now()),
        afterPiece: continuation.stream.lastPiece,
        urgency: decision.urgency,
        tenant: tenantNameOf(continuation.access),
        withholdsKey: continuation.access.type !== 'open',
      };
      const carried = await carry(continuation, link, link.forward, order, signal, {
        piece: () => countPiece(continuation, attempt),
        load: (load) => signals.load(decision.server, load),
      });
      if (!signal.aborted) {
        if (carried.type === 'failed' && carried.error === 'link-lost') signals.suspect(decision.server);
        continuation.stream.dueUs = Number.POSITIVE_INFINITY;
        endTry(continuation, attempt, decision.server, carried);
      }
      pool.release(link);
      return;
    }
    const ending = await deliver(continuation, link, decision.fromPiece, signal, {
      piece: (line) => givePiece(continuation, attempt, line, signal),
      receipt: (text) => giveReceipt(continuation, attempt, text, signal),
    });
    if (!signal.aborted) {
      continuation.stream.dueUs = Number.POSITIVE_INFINITY;
      endTry(continuation, attempt, decision.server, ending);
    }
    if (ending.type === 'done' && (await within(clock, ending.rest, restBudgetUs)) !== true) link.close();
    pool.release(link);
  };

  const endTry = (continuation: Continuation, attempt: number, server: ServerKey, ending: DeliveryEnd): void => {
    const { exchange } = continuation;
    switch (ending.type) {
      case 'done':
        tell(exchange, 'done', { attempt, pieces: continuation.stream.pieces });
        counters.count('exchanges.done');
        continuation.stream.running = undefined;
        if (continuation.isModel && continuation.opaque === undefined)
          continuation.caller.end(exchange, continuation.stream.pieces);
        end(continuation);
        take({ type: 'done', at: clock.now(), exchange, attempt });
        return;
      case 'gone':
        leave(continuation);
        return;
      case 'failed':
        tell(exchange, 'failed', { attempt, ...ending });
        counters.count(`tries.failed.${ending.error}`);
        if (ending.notRun !== true) signals.broke(server);
        if (ending.notRun === true) {
          continuation.watch.notRun();
          continuation.quota.notRun();
        }
        take({
          type: 'failed',
          at: clock.now(),
          exchange,
          attempt,
          sent: true,
          pieces: continuation.stream.pieces,
          error: ending.error,
          ...(ending.notRun === true ? { notRun: true } : {}),
        });
        return;
    }
  };

  const leave = (continuation: Continuation): void => {
    if (find(continuation.exchange) === undefined) return;
    counters.count('exchanges.abandoned');
    tell(continuation.exchange, 'abandoned', {});
    end(continuation);
    take({ type: 'abandoned', at: clock.now(), exchange: continuation.exchange });
  };

  const givePiece = async (
    continuation: Continuation,
    attempt: number,
    line: string,
    signal: AbortSignal,
  ): Promise<boolean> => {
    const { caller, stream, exchange, rule } = continuation;
    if (signal.aborted || caller.isGone()) return false;
    stream.pieces += 1;
    stream.dueUs = Number.POSITIVE_INFINITY;
    const given = caller.piece(exchange, line);
    if (stream.pieces === 1) take({ type: 'firstPiece', at: clock.now(), exchange, attempt });
    const isThere = await given;
    if (!signal.aborted) stream.dueUs = clock.now() + rule.silenceUs;
    return isThere && !signal.aborted;
  };

  /** Counts a piece that was given on as it came. */
  const countPiece = (continuation: Continuation, attempt: number): void => {
    continuation.stream.dueUs = clock.now() + continuation.rule.silenceUs;
    if (continuation.stream.pieces === 1)
      take({ type: 'firstPiece', at: clock.now(), exchange: continuation.exchange, attempt });
  };

  const giveReceipt = (continuation: Continuation, attempt: number, text: string, signal: AbortSignal): void => {
    if (signal.aborted) return;
    take({ type: 'firstPiece', at: clock.now(), exchange: continuation.exchange, attempt });
    continuation.caller.receipt(continuation.exchange, text);
  };

  /** Ends the tries whose servers fell silent in the middle of a stream. Time in which this process did not run is not theirs. */
  const endSilentTries = (nowUs: Micros, lateUs: Micros): void => {
    for (const continuation of slab.values()) {
      const { running, pieces } = continuation.stream;
      continuation.stream.dueUs += lateUs;
      if (running === undefined || nowUs < continuation.stream.dueUs) continue;
      running.cancel();
      endTry(continuation, running.attempt, running.server, {
        type: 'failed',
        error: 'silent',
        message: `nothing came after piece ${pieces - 1}`,
      });
    }
  };

  const tick = (nowUs: Micros, lateUs: Micros): void => {
    endSilentTries(nowUs, lateUs);
    for (const continuation of slab.values()) tryChecks.waiting(continuation, nowUs - lateUs);
    const platformUs = spread.platformUs();
    if (platformUs > platformUsOf(journal.view())) take({ type: 'time', at: clock.now(), platformUs });
    take({ type: 'tick', at: clock.now() });
  };

  const ticks = openTicks(clock, () => journal.view().wakeUs, tick);

  spread.events.on('setup', (record) => {
    tryChecks.configured(journal.view().record?.revision, record.revision);
    take({ type: 'setup', at: clock.now(), record });
  });
  spread.events.on('routers', (routers) => take({ type: 'fleet', at: clock.now(), routers }));
  spread.events.on('time', (platformUs) => take({ type: 'time', at: clock.now(), platformUs }));
  spread.events.on('list', (list) => {
    take({ type: 'list', at: clock.now(), list });
    signals.watch(list.servers);
    pool.retainOnly(new Set(list.servers.map(serverKeyOf)));
  });
  counters.gauge('exchanges.inFlight', () => slab.size());
  counters.gauge('links.open', () => pool.size());
  counters.gauge('flights', () => journal.view().flights.size);
  counters.gauge('setup.revision', () => journal.view().record?.revision ?? 0);
  counters.gauge('list.version', () => journal.view().list?.version ?? 0);

  const nextName = (): string => {
    exchangeCount += 1;
    return `${node}.${boot}.c${exchangeCount}`;
  };

  return {
    view: journal.view,
    stories,
    events: journal.events,
    inFlight: slab.size,
    nextExchange: nextName,
    accept: ({ rule: namedRule, body, opaque, caller, apiKey, access, quota, claimed }) => {
      const tier = access.type === 'tenant' ? access.tenant.tier : undefined;
      const service =
        namedRule.split === undefined ? namedRule.service : shareOf(namedRule, opaque?.name ?? nextName());
      const rule = { ...namedRule, service, tier: tier ?? namedRule.tier };
      const isModel = journal.view().topology.services.get(rule.service)?.type === 'model';
      const continuation = slab.put((ticket) => {
        const exchange = claimed?.exchange ?? `${node}.${boot}.${ticketName(ticket)}`;
        const watch = watchCaller(caller, { exchange, repeatable: rule.repeatable }, promises);
        return {
          ticket,
          exchange,
          rule,
          isModel,
          apiKey,
          access,
          quota,
          body,
          opaque,
          dueUs: clock.now() + Math.min(rule.budgetUs, body.budgetUs ?? rule.budgetUs),
          caller: watch.caller,
          watch,
          claimedKey: claimed?.key,
          stream: {
            pieces: 0,
            running: undefined,
            dueUs: Number.POSITIVE_INFINITY,
            lastPiece: opaque?.afterPiece,
            refusal: undefined,
          },
        };
      });
      const { exchange } = continuation;
      tickets.set(exchange, continuation.ticket);
      counters.count(`exchanges.kind.${rule.kind}`);
      beginStory(exchange, rule);
      if (quota.facts !== undefined) tell(exchange, 'quota', quota.facts);
      caller.onGone(() => leave(continuation));
      take({
        type: 'exchange',
        at: clock.now(),
        exchange,
        kind: rule.kind,
        prefix: prefixOf(rule.service, (isModel || opaque !== undefined ? body.opening : body.text) ?? ''),
        budgetUs: body.budgetUs,
        ...(rule.split === undefined ? {} : { service: rule.service }),
        ...(tier === undefined ? {} : { tier }),
        ...(opaque === undefined || !isModel
          ? {}
          : { work: workOf(rule.service, opaque.opening, opaque.readTokens, opaque.writeTokens) }),
      });
    },
    noteRefusal: (exchange, rule, { type }, facts = {}) => {
      beginStory(exchange, rule);
      tell(exchange, 'refuse', { error: type, ...facts });
    },
    drain: () => take({ type: 'drain', at: clock.now() }),
    start: () => {
      take({ type: 'fleet', at: clock.now(), routers: spread.view().routers });
      take({ type: 'node', at: clock.now(), node });
      ticks.start();
    },
    close: () => {
      ticks.close();
      signals.close();
      pool.close();
      for (const continuation of slab.values()) {
        end(continuation);
        continuation.caller.breakOff();
      }
    },
  };
};
