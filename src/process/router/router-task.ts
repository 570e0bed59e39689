import { maxClockStepUs } from '../../common/clock/time-bound.js';
import { raceTimeout } from '../../common/clock/race-timeout.js';
import { openJournal } from '../../common/journal.js';
import type { Micros } from '../../common/micros.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { Decision } from '../../decision/machine/effect/decision.js';
import type { DecisionEvent } from '../../decision/machine/event/decision-event.js';
import { stepDecision } from '../../decision/machine/step/step.js';
import { platformUsOf, initialDecisionView, type DecisionView } from '../../decision/machine/view/decision-view.js';
import { defaultPolicy, type DecisionPolicy } from '../../decision/policy.js';
import { prefixOf } from '../../decision/ring/prefix.js';
import { accessOf, isSameTenant, tenantNameOf, type Access } from '../../router/access/access.js';
import type { ClientLink } from '../../router/delivery/client-link.js';
import { deliver } from '../../router/delivery/deliver.js';
import type { DeliveryResult } from '../../router/delivery/delivery-result.js';
import { accountBacklog } from '../../router/delivery/account-backlog.js';
import { forwardOpaque } from '../../router/delivery/forward-opaque.js';
import type { ResponseMemory } from '../../router/delivery/response-memory.js';
import type { OpaqueExchange } from '../../router/opaque/opaque-exchange.js';
import { workOf } from '../../decision/work/work-of.js';
import { chooseService } from '../../setup/match/choose-service.js';
import type { Continuation } from '../../router/exchange/continuation.js';
import type { QuotaHold } from '../../router/exchange/quota-hold.js';
import type { ExchangeBody } from '../../router/exchange/exchange-body.js';
import { openGuaranteeMonitor } from '../../router/guarantees/guarantee-monitor.js';
import { openRoutingChecks } from '../../router/guarantees/routing-checks.js';
import { monitorExchange } from '../../router/guarantees/exchange-monitor.js';
import { openTraceStore, type TraceStore } from '../../router/explain/trace-store.js';
import { startPosition } from '../../router/event-stream/stream-position.js';
import { openSlab, type Slab } from '../../router/slab/slab.js';
import { handleText, type SlabHandle } from '../../router/slab/slab-handle.js';
import { openLinkPool } from '../../servers/link/link-pool.js';
import type { ListedServer } from '../../servers/list/listed-server.js';
import { serverKeyOf, type ServerKey } from '../../servers/list/server-key.js';
import type { Rule } from '../../setup/document/rule.js';
import type { Counters } from '../counters.js';
import type { Log } from '../log.js';
import type { GossipTask } from '../gossip-task.js';
import type { Surroundings } from '../surroundings/surroundings.js';
import type { RefreshGate } from './refresh-gate.js';
import { openServerSignals } from './server-signals.js';
import { openTickScheduler } from './tick-scheduler.js';

/** Runs the decision machine, and owns the exchanges in flight and the connections to servers. */
export type RouterTask = {
  /** The current state of the decision machine. */
  readonly view: () => DecisionView;
  readonly stories: TraceStore;
  /** The most recent events of the decision machine. */
  readonly events: () => readonly DecisionEvent[];
  /** Accepts an admitted exchange; it is answered through its client link. */
  readonly accept: (arrival: AdmittedExchange) => void;
  readonly inFlight: () => number;
  /** A new exchange id. */
  readonly nextExchangeId: () => string;
  /** Records a trace of an exchange that was refused at admission. */
  readonly recordRefusal: (
    exchange: string,
    rule: Rule,
    error: TypedError,
    facts?: Readonly<Record<string, unknown>>,
  ) => void;
  /** Notifies the decision machine that this node is stopping. */
  readonly drain: () => void;
  /** Gives every exchange whose response has not started its final answer; no attempt begins from now on. */
  readonly shutDown: () => void;
  /** Reports this node and the known routers to the decision machine, and starts the ticks. */
  readonly start: () => void;
  /** Stops the task and aborts the responses in flight. */
  readonly close: () => void;
};

/** An exchange that passed admission. */
export type AdmittedExchange = {
  readonly rule: Rule;
  readonly body: ExchangeBody;
  /** Set if the request is forwarded unparsed; sent instead of `body`. */
  readonly opaque?: OpaqueExchange;
  readonly client: ClientLink;
  readonly apiKey: string | undefined;
  readonly access: Access;
  /** The quota that was spent at admission. */
  readonly quota: QuotaHold;
  /** The hash of the claimed idempotency key, and the exchange id under which it was claimed. */
  readonly claimed: { readonly key: string; readonly exchange: string } | undefined;
};

/** The time limit for the body of a finished stream to end; beyond it the connection is closed instead of reused. */
const bodyEndBudgetUs: Micros = 1_000_000;
const maxJournalEvents = 4096;
const maxTraces = 4096;

export type RouterTaskDependencies = {
  readonly node: string;
  readonly spread: GossipTask;
  readonly gate: RefreshGate;
  readonly log: Log;
  readonly counters: Counters;
  readonly responseMemory: ResponseMemory;
  readonly surroundings: Pick<Surroundings, 'clock' | 'dial' | 'freshName' | 'probesNothing'>;
  /** Which parts of the decision machine are enabled; all by default. */
  readonly policy?: DecisionPolicy;
  /** Releases the claim on the idempotency key of an exchange that was refused. */
  readonly release: (claimed: { readonly key: string; readonly exchange: string }) => void;
};

/** Opens the task of one router; its ticks begin at `start`. */
export const openRouterTask = ({
  node,
  spread,
  gate,
  log,
  counters,
  responseMemory,
  surroundings,
  policy = defaultPolicy,
  release,
}: RouterTaskDependencies): RouterTask => {
  const { clock, dial, freshName, probesNothing = false } = surroundings;
  const boot = freshName();
  const slab: Slab<Continuation> = openSlab();
  const handles = new Map<string, SlabHandle>();
  const traces = openTraceStore(maxTraces);
  const pool = openLinkPool(dial);
  const guarantees = openGuaranteeMonitor({ count: (name) => counters.count(name), log: log.change });
  const routingChecks = openRoutingChecks(guarantees);
  let decisions: readonly Decision[] = [];
  let exchangeCount = 0;
  const journal = openJournal<DecisionView, DecisionEvent>(
    { ...initialDecisionView, policy },
    (view, event) => {
      const step = stepDecision(view, event);
      decisions = step.effects;
      return step.view;
    },
    maxJournalEvents,
  );
  const pendingEvents: DecisionEvent[] = [];
  let isDispatching = false;
  let lastEventUs = clock.now();

  const signals = openServerSignals({
    spread,
    clock,
    dial,
    probesNothing,
    pool,
    log,
    counters,
    dispatch: (event) => dispatch(event),
  });

  const find = (exchange: string): Continuation | undefined => {
    const handle = handles.get(exchange);
    return handle === undefined ? undefined : slab.get(handle);
  };

  const endExchange = (continuation: Continuation): void => {
    continuation.stream.running?.cancel();
    continuation.stream.running = undefined;
    continuation.stream.errorResponse?.hold.close();
    handles.delete(continuation.exchange);
    slab.free(continuation.handle);
    continuation.quota.end();
  };

  /** Feeds an event to the decision machine and executes its decisions; events raised meanwhile are queued. */
  const dispatch = (event: DecisionEvent): void => {
    const spanUs = event.at - lastEventUs;
    lastEventUs = event.at;
    if (spanUs >= maxClockStepUs) pendingEvents.push({ type: 'gap', at: event.at, spanUs });
    pendingEvents.push(event);
    if (isDispatching) return;
    isDispatching = true;
    for (let nextEvent = pendingEvents.shift(); nextEvent !== undefined; nextEvent = pendingEvents.shift()) {
      journal.append(nextEvent);
      decisions.forEach(execute);
    }
    isDispatching = false;
    tickScheduler.scheduleNext();
  };

  const addStep = (exchange: string, what: string, facts: object): void =>
    traces.add(exchange, { at: clock.now(), what, facts });

  const beginTrace = (exchange: string, rule: Rule): void =>
    traces.begin({
      exchange,
      kind: rule.kind,
      tier: rule.tier,
      service: rule.service,
      setupRevision: journal.view().record?.revision ?? 0,
      listVersion: journal.view().list?.version ?? 0,
      steps: [],
    });

  const execute = (decision: Decision): void => {
    counters.count(`decisions.${decision.type}`);
    switch (decision.type) {
      case 'booked':
      case 'entered':
      case 'withdrawn':
        log.change(decision.type, decision);
        return;
      case 'deliver': {
        addStep(decision.exchange, 'deliver', decision);
        counters.count(`reasons.${decision.reason.type}`);
        if (decision.extra) counters.count('tries.extra');
        const continuation = find(decision.exchange);
        if (continuation === undefined) return;
        if (policy.toldWork)
          signals.work(decision.server, continuation.rule.service, decision.tokens ?? 0, decision.busyUs ?? 0);
        startAttempt(continuation, decision);
        return;
      }
      case 'hold':
        addStep(decision.exchange, 'hold', decision);
        return;
      case 'cancel': {
        addStep(decision.exchange, 'cancel', decision);
        const continuation = find(decision.exchange);
        if (continuation?.stream.running?.attempt === decision.attempt) continuation.stream.running.cancel();
        return;
      }
      case 'refuse':
        addStep(decision.exchange, 'refuse', decision);
        finishExchange(decision.exchange, (continuation) => {
          counters.count(`refused.${decision.error}`);
          if (continuation.claimedKey !== undefined)
            release({ key: continuation.claimedKey, exchange: decision.exchange });
          continuation.client.refuse(
            typedError(decision.error, 'refused: the exchange did not run and never will'),
            decision.exchange,
            decision.retryAfterUs,
          );
        });
        return;
      case 'unknown':
        addStep(decision.exchange, 'unknown', decision);
        finishExchange(decision.exchange, (continuation) => {
          counters.count(`unknown.${decision.error}`);
          const { errorResponse: refusal } = continuation.stream;
          if (refusal !== undefined && continuation.client.opaque !== undefined) {
            continuation.client.opaque.whole(refusal.head, refusal.body);
            return;
          }
          continuation.client.unknown(typedError(decision.error, 'unknown outcome: the exchange may have run'), {
            exchange: decision.exchange,
          });
        });
        return;
      case 'breakOff':
        addStep(decision.exchange, 'breakOff', decision);
        finishExchange(decision.exchange, (continuation) => {
          counters.count('streams.brokenOff');
          continuation.client.breakOff();
        });
        return;
    }
  };

  /** Ends an exchange and sends its final answer; no effect if it has already ended. */
  const finishExchange = (exchange: string, answer: (continuation: Continuation) => void): void => {
    const continuation = find(exchange);
    if (continuation === undefined) return;
    endExchange(continuation);
    answer(continuation);
  };

  const startAttempt = (
    continuation: Continuation,
    decision: Extract<Decision, { readonly type: 'deliver' }>,
  ): void => {
    const abortController = new AbortController();
    continuation.stream.running = {
      attempt: decision.attempt,
      server: decision.server,
      cancel: () => abortController.abort(),
    };
    void runAttempt(continuation, decision, abortController.signal);
  };

  /** A server in the newest server list; undefined if it is not listed. */
  const findListedServer = (key: ServerKey): ListedServer | undefined =>
    journal.view().list?.servers.find((listed) => serverKeyOf(listed) === key);

  /** Whether the service of an exchange may use a server now. */
  const isServerAllowed = (continuation: Continuation, key: string): boolean =>
    journal.view().topology.services.get(continuation.rule.service)?.allowed.has(key) ?? false;

  /** Whether the client's key still belongs to the same tenant; keys may be revoked while the exchange waits. */
  const isStillAuthorized = ({ rule, apiKey, access }: Continuation): boolean => {
    const setup = journal.view().record?.setup;
    return setup !== undefined && isSameTenant(access, accessOf(setup, rule, apiKey));
  };

  /**
   * Runs one attempt. The checks of the gate, the server and the key are repeated after each wait, because a configuration, a
   * server list or a freeze may have intervened.
   */
  const runAttempt = async (
    continuation: Continuation,
    decision: Extract<Decision, { readonly type: 'deliver' }>,
    signal: AbortSignal,
  ): Promise<void> => {
    const { exchange } = continuation;
    const { attempt } = decision;
    /** Reports an attempt that failed before anything was sent. */
    const failUnsent = (error: 'no-link' | 'wrong-service' | 'key-revoked'): void =>
      dispatch({
        type: 'failed',
        at: clock.now(),
        exchange,
        attempt,
        sent: false,
        pieces: continuation.stream.pieces,
        error,
      });
    const isFresh = await gate.waitUntilOpen();
    const server = findListedServer(decision.server);
    if (signal.aborted) return;
    if (!isFresh || server === undefined || !isServerAllowed(continuation, decision.server)) {
      failUnsent('no-link');
      return;
    }
    const acquired = await pool.acquire(server);
    if (signal.aborted) {
      acquired.ifRight((link) => pool.release(link));
      return;
    }
    if (acquired.isLeft()) {
      acquired.ifLeft((error) => {
        counters.count('links.refused');
        addStep(exchange, 'no link', { attempt, error });
        if (error.type !== 'bad-message') signals.unreachable(decision.server);
        failUnsent(error.type === 'bad-message' ? 'wrong-service' : 'no-link');
      });
      return;
    }
    const link = acquired.unsafeCoerce();
    if (gate.isShut() || !link.isOpen() || !isServerAllowed(continuation, decision.server)) {
      pool.release(link);
      failUnsent('no-link');
      return;
    }
    if (!isStillAuthorized(continuation)) {
      pool.release(link);
      counters.count('keys.revokedInFlight');
      failUnsent('key-revoked');
      return;
    }
    continuation.watch.sent();
    continuation.quota.sent();
    routingChecks.sent({
      exchange,
      rule: continuation.rule,
      server: findListedServer(decision.server),
      nowUs: spread.platformUs(),
    });
    dispatch({ type: 'sent', at: clock.now(), exchange, attempt });
    if (continuation.stream.pieces > 0) continuation.stream.dueUs = clock.now() + continuation.rule.firstPieceUs;
    const { opaque } = continuation;
    if (opaque !== undefined && link.forward !== undefined) {
      const { resumePoint } = continuation.stream.position;
      const order = {
        exchange: opaque,
        budgetUs: Math.max(1_000, continuation.dueUs - clock.now()),
        resumeAfter: resumePoint.type === 'after' ? resumePoint.id : undefined,
        urgency: decision.urgency,
        tenant: tenantNameOf(continuation.access),
        withholdsKey: continuation.access.type !== 'open',
      };
      const outcome = await forwardOpaque(continuation, link, link.forward, order, signal, responseMemory, {
        piece: () => noteForwardedPiece(continuation, attempt),
        load: (load) => signals.load(decision.server, load),
      });
      if (!signal.aborted) {
        if (outcome.type === 'failed' && outcome.error === 'link-lost') signals.suspect(decision.server);
        continuation.stream.dueUs = Number.POSITIVE_INFINITY;
        endAttempt(continuation, attempt, decision.server, outcome);
      }
      pool.release(link);
      return;
    }
    const outcome = await deliver(continuation, link, decision.fromPiece, signal, responseMemory, {
      piece: (line) => forwardPiece(continuation, attempt, line, signal),
      receipt: (text) => forwardResponse(continuation, attempt, text, signal),
    });
    if (!signal.aborted) {
      continuation.stream.dueUs = Number.POSITIVE_INFINITY;
      endAttempt(continuation, attempt, decision.server, outcome);
    }
    if (outcome.type === 'done' && (await raceTimeout(clock, outcome.rest, bodyEndBudgetUs)) !== true) link.close();
    pool.release(link);
  };

  const endAttempt = (
    continuation: Continuation,
    attempt: number,
    server: ServerKey,
    outcome: DeliveryResult,
  ): void => {
    const { exchange } = continuation;
    switch (outcome.type) {
      case 'done':
        addStep(exchange, 'done', { attempt, pieces: continuation.stream.pieces });
        counters.count('exchanges.done');
        continuation.stream.running = undefined;
        if (continuation.isModel && continuation.opaque === undefined)
          continuation.client.end(exchange, continuation.stream.pieces);
        endExchange(continuation);
        dispatch({ type: 'done', at: clock.now(), exchange, attempt });
        return;
      case 'gone':
        abandon(continuation);
        return;
      case 'failed':
        addStep(exchange, 'failed', { attempt, ...outcome });
        counters.count(`tries.failed.${outcome.error}`);
        if (outcome.notRun !== true && outcome.error !== 'over-memory') signals.reportFailure(server);
        if (outcome.notRun === true) {
          continuation.watch.notRun();
          continuation.quota.notRun();
        }
        dispatch({
          type: 'failed',
          at: clock.now(),
          exchange,
          attempt,
          sent: true,
          pieces: continuation.stream.pieces,
          error: outcome.error,
          ...(outcome.notRun === true ? { notRun: true } : {}),
          ...(continuation.stream.position.resumePoint.type === 'unknown' ? { positionUnknown: true } : {}),
        });
        return;
    }
  };

  /** Ends an exchange whose client has disconnected. */
  const abandon = (continuation: Continuation): void => {
    if (find(continuation.exchange) === undefined) return;
    counters.count('exchanges.abandoned');
    addStep(continuation.exchange, 'abandoned', {});
    endExchange(continuation);
    dispatch({ type: 'abandoned', at: clock.now(), exchange: continuation.exchange });
  };

  const forwardPiece = async (
    continuation: Continuation,
    attempt: number,
    line: string,
    signal: AbortSignal,
  ): Promise<boolean> => {
    const { client, stream, exchange, rule } = continuation;
    if (signal.aborted || client.isGone()) return false;
    stream.pieces += 1;
    stream.dueUs = Number.POSITIVE_INFINITY;
    const written = client.piece(exchange, line);
    if (stream.pieces === 1) dispatch({ type: 'firstPiece', at: clock.now(), exchange, attempt });
    const isConnected = await written;
    if (!signal.aborted) stream.dueUs = clock.now() + rule.silenceUs;
    return isConnected && !signal.aborted;
  };

  /** Restarts the silence timeout of an opaque stream, whose pieces `forwardOpaque` counts and forwards. */
  const noteForwardedPiece = (continuation: Continuation, attempt: number): void => {
    continuation.stream.dueUs = clock.now() + continuation.rule.silenceUs;
    if (continuation.stream.pieces === 1)
      dispatch({ type: 'firstPiece', at: clock.now(), exchange: continuation.exchange, attempt });
  };

  const forwardResponse = (continuation: Continuation, attempt: number, text: string, signal: AbortSignal): void => {
    if (signal.aborted) return;
    dispatch({ type: 'firstPiece', at: clock.now(), exchange: continuation.exchange, attempt });
    continuation.client.receipt(continuation.exchange, text);
  };

  /** Fails attempts whose server sent nothing within the silence timeout of a stream. Stalls of this process do not count. */
  const failSilentAttempts = (nowUs: Micros, lateUs: Micros): void => {
    for (const continuation of slab.values()) {
      const { running, pieces } = continuation.stream;
      continuation.stream.dueUs += lateUs;
      if (running === undefined || nowUs < continuation.stream.dueUs) continue;
      running.cancel();
      endAttempt(continuation, running.attempt, running.server, {
        type: 'failed',
        error: 'silent',
        message: `no data received after piece ${pieces - 1}`,
      });
    }
  };

  const tick = (nowUs: Micros, lateUs: Micros): void => {
    failSilentAttempts(nowUs, lateUs);
    for (const continuation of slab.values()) routingChecks.waiting(continuation, nowUs - lateUs);
    const platformUs = spread.platformUs();
    if (platformUs > platformUsOf(journal.view())) dispatch({ type: 'time', at: clock.now(), platformUs });
    dispatch({ type: 'tick', at: clock.now() });
  };

  const tickScheduler = openTickScheduler(clock, () => journal.view().wakeUs, tick);

  spread.events.on('setup', (record) => {
    routingChecks.configured(journal.view().record?.revision, record.revision);
    dispatch({ type: 'setup', at: clock.now(), record });
  });
  spread.events.on('routers', (routers) => dispatch({ type: 'fleet', at: clock.now(), routers }));
  spread.events.on('time', (platformUs) => dispatch({ type: 'time', at: clock.now(), platformUs }));
  spread.events.on('list', (list) => {
    dispatch({ type: 'list', at: clock.now(), list });
    signals.setServers(list.servers);
    pool.retainOnly(new Set(list.servers.map(serverKeyOf)));
  });
  counters.gauge('exchanges.inFlight', () => slab.size());
  counters.gauge('links.open', () => pool.size());
  counters.gauge('flights', () => journal.view().flights.size);
  counters.gauge('setup.revision', () => journal.view().record?.revision ?? 0);
  counters.gauge('list.version', () => journal.view().list?.version ?? 0);

  const nextExchangeId = (): string => {
    exchangeCount += 1;
    return `${node}.${boot}.c${exchangeCount}`;
  };

  return {
    view: journal.view,
    stories: traces,
    events: journal.events,
    inFlight: slab.size,
    nextExchangeId: nextExchangeId,
    accept: ({ rule: matchedRule, body, opaque, client, apiKey, access, quota, claimed }) => {
      const tier = access.type === 'tenant' ? access.tenant.tier : undefined;
      const service =
        matchedRule.split === undefined
          ? matchedRule.service
          : chooseService(matchedRule, opaque?.name ?? nextExchangeId());
      const rule = { ...matchedRule, service, tier: tier ?? matchedRule.tier };
      const isModel = journal.view().topology.services.get(rule.service)?.type === 'model';
      const continuation = slab.put((handle) => {
        const exchange = claimed?.exchange ?? `${node}.${boot}.${handleText(handle)}`;
        const accountedClient =
          client.opaque === undefined ? client : { ...client, opaque: accountBacklog(client.opaque, responseMemory) };
        const monitor = monitorExchange(accountedClient, { exchange, repeatable: rule.repeatable }, guarantees);
        return {
          handle: handle,
          exchange,
          rule,
          isModel,
          apiKey,
          access,
          quota,
          body,
          opaque,
          dueUs: clock.now() + Math.min(rule.budgetUs, body.budgetUs ?? rule.budgetUs),
          client: monitor.client,
          watch: monitor,
          claimedKey: claimed?.key,
          stream: {
            pieces: 0,
            running: undefined,
            dueUs: Number.POSITIVE_INFINITY,
            position: startPosition(opaque?.lastEventId),
            errorResponse: undefined,
          },
        };
      });
      const { exchange } = continuation;
      handles.set(exchange, continuation.handle);
      counters.count(`exchanges.kind.${rule.kind}`);
      beginTrace(exchange, rule);
      if (quota.facts !== undefined) addStep(exchange, 'quota', quota.facts);
      client.onGone(() => abandon(continuation));
      dispatch({
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
    recordRefusal: (exchange, rule, { type }, facts = {}) => {
      beginTrace(exchange, rule);
      addStep(exchange, 'refuse', { error: type, ...facts });
    },
    drain: () => dispatch({ type: 'drain', at: clock.now() }),
    shutDown: () => dispatch({ type: 'shutdown', at: clock.now() }),
    start: () => {
      dispatch({ type: 'fleet', at: clock.now(), routers: spread.view().routers });
      dispatch({ type: 'node', at: clock.now(), node });
      tickScheduler.start();
    },
    close: () => {
      tickScheduler.close();
      signals.close();
      pool.close();
      for (const continuation of slab.values()) {
        endExchange(continuation);
        continuation.client.breakOff();
      }
    },
  };
};
