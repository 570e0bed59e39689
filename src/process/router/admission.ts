import type { Either } from 'purify-ts';
import { validate } from '../../common/validate.js';
import type { ErrorType } from '../../common/error-type.js';
import type { Micros } from '../../common/micros.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import { unmeteredHold, openQuotaHold, type QuotaHold } from '../../router/exchange/quota-hold.js';
import { quotaCostOf } from '../../router/access/quota-cost.js';
import { accessOf, type Access } from '../../router/access/access.js';
import type { OpaqueExchange } from '../../router/opaque/opaque-exchange.js';
import { prefixTextOf } from '../../decision/work/work-of.js';
import { matchRule } from '../../setup/match/rule-index.js';
import type { ClientLink } from '../../router/delivery/client-link.js';
import { claimKeyOf } from '../../router/exchange/claim-key.js';
import { claimBudgetOf } from '../../router/exchange/claim-budget.js';
import { exchangeBodySchema } from '../../router/exchange/exchange-body.js';
import type { Rule } from '../../setup/document/rule.js';
import type { Setup } from '../../setup/document/setup.js';
import type { CoreClient } from '../core-client.js';
import type { Counters } from '../counters.js';
import type { GossipTask } from '../gossip-task.js';
import type { QuotaTask } from './quota-task.js';
import type { RefreshGate } from './refresh-gate.js';
import type { RouterTask } from './router-task.js';

/** Admission control: readiness, authentication, quota and the claim of an idempotency key, before an exchange is accepted. */
export type Admission = {
  /** The number of requests that are neither accepted nor answered yet, such as those that wait for their claim. */
  readonly pendingCount: () => number;
  /** Admits an exchange whose body is forwarded unparsed; its rule is matched by host and path. */
  readonly admitOpaque: (exchange: OpaqueExchange, client: ClientLink) => Promise<void>;
  /** Admits a JSON request. Resolves once it has been accepted or answered; every request is answered eventually. */
  readonly admit: (
    json: Either<TypedError, unknown>,
    idempotencyKey: unknown,
    client: ClientLink,
    apiKey?: string,
  ) => Promise<void>;
};

export type AdmissionDependencies = {
  readonly router: RouterTask;
  readonly spread: GossipTask;
  readonly core: CoreClient;
  readonly gate: RefreshGate;
  readonly quota: Pick<QuotaTask, 'spend' | 'refund' | 'charge'>;
  readonly counters: Counters;
  /** Why new exchanges are refused now; undefined if they are accepted. */
  readonly closedReason: () => ErrorType | undefined;
};

const defaultRetryAfterUs: Micros = 1_000_000;
/** The messages to clients for each cause of a refusal by quota. */
const quotaRefusalMessages = {
  'over-quota': 'refused: the quota of the tenant is exhausted',
  'quota-unavailable': 'refused: the quota could not be checked',
} as const;
const idempotencyKeyPattern = /^[\x21-\x7e]{1,200}$/;

const isValidKey = (key: unknown): key is string | undefined =>
  key === undefined || (typeof key === 'string' && idempotencyKeyPattern.test(key));

/** Opens the admission control of one router. */
export const openAdmission = ({
  router,
  spread,
  core,
  gate,
  quota,
  counters,
  closedReason: closedReason,
}: AdmissionDependencies): Admission => {
  const refuse = (client: ClientLink, error: TypedError, retryAfterUs?: Micros, exchange?: string): void => {
    counters.count(`refused.${error.type}`);
    client.refuse(error, exchange, retryAfterUs);
  };

  /** Whether this node accepts requests now; if not, refuses this one. */
  const checkOpen = async (client: ClientLink): Promise<boolean> => {
    const isFresh = await gate.waitUntilOpen();
    const closing = isFresh ? closedReason() : 'not-ready';
    if (closing === undefined) return true;
    refuse(
      client,
      typedError(closing, 'refused: this node does not accept exchanges at the moment'),
      defaultRetryAfterUs,
    );
    return false;
  };

  /** Authenticates a request; refuses one without a required key, before any quota is spent or state is allocated. */
  const authenticate = (
    setup: Setup,
    rule: Rule,
    apiKey: string | undefined,
    client: ClientLink,
  ): Exclude<Access, { readonly type: 'denied' }> | undefined => {
    const access = accessOf(setup, rule, apiKey);
    if (access.type !== 'denied') return access;
    refuse(client, typedError('unknown-key', 'the request has no valid API key of a tenant'));
    return undefined;
  };

  /**
   * Spends the cost of a request from its tenant's quota; undefined if it was refused, or its client has disconnected meanwhile.
   * Resolves immediately if the reserve has tokens, and within a fraction of a second otherwise.
   */
  const spendQuota = async (
    access: Access,
    rule: Rule,
    declaredTokens: number | undefined,
    client: ClientLink,
  ): Promise<QuotaHold | undefined> => {
    const limit = access.type === 'tenant' ? access.tenant.quota : undefined;
    if (access.type !== 'tenant' || limit === undefined || limit.ratePerSecond === 0) return unmeteredHold;
    const tenant = access.tenant.name;
    const cost = quotaCostOf(limit, declaredTokens);
    const exchange = router.nextExchangeId();
    const answer = await quota.spend(exchange, tenant, cost);
    if (answer.type === 'rejected') {
      const error = typedError(answer.cause, quotaRefusalMessages[answer.cause]);
      router.recordRefusal(exchange, rule, error, { tenant, cost, retryAfterUs: answer.retryAfterUs });
      refuse(client, error, answer.retryAfterUs, exchange);
      return undefined;
    }
    const hold = openQuotaHold(quota, { tenant, cost, source: answer.source });
    if (!client.isGone()) return hold;
    counters.count('exchanges.abandoned');
    hold.end();
    return undefined;
  };

  /**
   * Claims an idempotency key of a kind that is not repeatable, through the core's replicated log, before anything is sent.
   * Resolves to the id of the new exchange; undefined if the claim failed or an earlier exchange holds the key.
   */
  const claimKey = async (rule: Rule, idempotencyKey: string, client: ClientLink): Promise<string | undefined> => {
    const exchange = router.nextExchangeId();
    const key = claimKeyOf(rule, idempotencyKey);
    const refuseClaim = (reason: string): void => {
      const error = typedError('no-claim', `refused, nothing was sent to a server: ${reason}`);
      router.recordRefusal(exchange, rule, error);
      refuse(client, error, defaultRetryAfterUs, exchange);
    };
    const reply = await core.ask(
      { type: 'propose', command: { type: 'claim', key, exchange, atUs: spread.platformUs() } },
      claimBudgetOf(rule),
    );
    return reply.caseOf<string | undefined>({
      Left: (error) => {
        refuseClaim(`the idempotency key could not be claimed (${error.message})`);
        return undefined;
      },
      Right: (result) => {
        const outcome = result.type === 'applied' ? result.outcome : undefined;
        if (outcome?.type === 'claimed' && outcome.won) return exchange;
        if (outcome?.type === 'claimed') {
          counters.count('unknown.repeated-key');
          client.unknown(
            typedError('repeated-key', 'the idempotency key is claimed by an earlier exchange, which may have run'),
            {
              holder: outcome.holder,
            },
          );
        } else refuseClaim('the claim table is full');
        return undefined;
      },
    });
  };

  let pendingCount = 0;
  const admit: Admission['admit'] = async (json, idempotencyKey, client, apiKey) => {
    const parsed = json.chain((value) =>
      validate(exchangeBodySchema, value).mapLeft((faults) => typedError('bad-exchange', 'invalid exchange', faults)),
    );
    if (parsed.isLeft()) {
      parsed.ifLeft((error) => refuse(client, error, error.type === 'over-memory' ? defaultRetryAfterUs : undefined));
      return;
    }
    const body = parsed.unsafeCoerce();
    if (!isValidKey(idempotencyKey)) {
      refuse(client, typedError('bad-exchange', 'Idempotency-Key must be 1 to 200 visible characters'));
      return;
    }
    if (!(await checkOpen(client))) return;
    const setup = router.view().record?.setup;
    const rule = setup?.rules.find((candidate) => candidate.kind === body.kind);
    if (setup === undefined || rule === undefined) {
      refuse(client, typedError('unknown-kind', `no rule matches kind ${body.kind}`));
      return;
    }
    const access = authenticate(setup, rule, apiKey, client);
    if (access === undefined) return;
    const hold = await spendQuota(access, rule, body.tokens, client);
    if (hold === undefined) return;
    if (rule.repeatable || idempotencyKey === undefined) {
      router.accept({ rule, body, client, apiKey, access, quota: hold, claimed: undefined });
      return;
    }
    if (router.inFlight() >= setup.pressure.slots) {
      hold.end();
      refuse(client, typedError('over-pressure', 'refused: too many exchanges in flight'), defaultRetryAfterUs);
      return;
    }
    const exchange = await claimKey(rule, idempotencyKey, client);
    if (exchange === undefined) hold.end();
    else
      router.accept({
        rule,
        body,
        client,
        apiKey,
        access,
        quota: hold,
        claimed: { key: claimKeyOf(rule, idempotencyKey), exchange },
      });
  };

  const admitOpaque: Admission['admitOpaque'] = async (exchange, client) => {
    if (!(await checkOpen(client))) return;
    const setup = router.view().record?.setup;
    const rule = setup === undefined ? undefined : matchRule(setup, exchange.host, exchange.path);
    if (setup === undefined || rule === undefined) {
      refuse(client, typedError('unknown-place', 'no rule matches this host and path'));
      return;
    }
    const access = authenticate(setup, rule, exchange.apiKey, client);
    if (access === undefined) return;
    const hold = await spendQuota(access, rule, exchange.declaredTokens, client);
    if (hold === undefined) return;
    router.accept({
      rule,
      body: {
        kind: rule.kind,
        opening: exchange.opening.length === 0 ? exchange.name : prefixTextOf(exchange.opening),
        budgetUs: exchange.budgetUs,
      },
      opaque: exchange,
      client,
      apiKey: exchange.apiKey,
      access,
      quota: hold,
      claimed: undefined,
    });
  };

  /** Counts a request as pending until its admission has ended. */
  const countPending = async (admitting: Promise<void>): Promise<void> => {
    pendingCount += 1;
    await admitting.finally(() => {
      pendingCount -= 1;
    });
  };

  return {
    admitOpaque: (exchange, client) => countPending(admitOpaque(exchange, client)),
    pendingCount: () => pendingCount,
    admit: (json, idempotencyKey, client, apiKey) => countPending(admit(json, idempotencyKey, client, apiKey)),
  };
};
