import type { Either } from 'purify-ts';
import { checked } from '../../common/checked.js';
import type { ErrorType } from '../../common/error-type.js';
import type { Micros } from '../../common/micros.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import { freeHold, openQuotaHold, type QuotaHold } from '../../router/exchange/quota-hold.js';
import { quotaCostOf } from '../../router/access/quota-cost.js';
import { accessOf, type Access } from '../../router/access/access.js';
import type { OpaqueExchange } from '../../router/opaque/opaque-exchange.js';
import { prefixTextOf } from '../../decision/work/work-of.js';
import { ruleAt } from '../../setup/match/rule-index.js';
import type { CallerLink } from '../../router/delivery/caller-link.js';
import { claimKeyOf } from '../../router/exchange/claim-key.js';
import { claimBudgetOf } from '../../router/exchange/claim-budget.js';
import { exchangeBodySchema } from '../../router/exchange/exchange-body.js';
import type { Rule } from '../../setup/document/rule.js';
import type { Setup } from '../../setup/document/setup.js';
import type { CoreClient } from '../core-client.js';
import type { Counters } from '../counters.js';
import type { SpreadTask } from '../spread-task.js';
import type { QuotaTask } from './quota-task.js';
import type { RefreshGate } from './refresh-gate.js';
import type { RouterTask } from './router-task.js';

/** What an exchange passes on its way in. */
export type Admission = {
  /** How many have come in and are neither taken in nor answered, such as those that wait for their claim. */
  readonly underWay: () => number;
  /** Takes an exchange whose text passes unread; its rule is found by host and path. */
  readonly arriveOpaque: (exchange: OpaqueExchange, caller: CallerLink) => Promise<void>;
  /** Takes what a caller sent, and answers every request in the end. */
  readonly arrive: (
    sent: Either<TypedError, unknown>,
    givenKey: unknown,
    caller: CallerLink,
    apiKey?: string,
  ) => Promise<void>;
};

export type AdmissionParts = {
  readonly router: RouterTask;
  readonly spread: SpreadTask;
  readonly core: CoreClient;
  readonly gate: RefreshGate;
  readonly quota: Pick<QuotaTask, 'spend' | 'refund' | 'charge'>;
  readonly counters: Counters;
  /** Why new exchanges can not be taken; none when they can. */
  readonly closedBy: () => ErrorType | undefined;
};

const comeBackUs: Micros = 1_000_000;
/** Why a quota refuses, as callers read it. */
const quotaRefusals = {
  'over-quota': 'refused: the tenant has used its quota',
  'quota-unavailable': 'refused: the quota could not be looked up',
} as const;
const keyForm = /^[\x21-\x7e]{1,200}$/;

const isKey = (givenKey: unknown): givenKey is string | undefined =>
  givenKey === undefined || (typeof givenKey === 'string' && keyForm.test(givenKey));

export const openAdmission = ({ router, spread, core, gate, quota, counters, closedBy }: AdmissionParts): Admission => {
  const refuse = (caller: CallerLink, error: TypedError, retryAfterUs?: Micros, exchange?: string): void => {
    counters.count(`refused.${error.type}`);
    caller.refuse(error, exchange, retryAfterUs);
  };

  /** Whether this node takes requests now; one that comes while it does not is refused. */
  const isOpenTo = async (caller: CallerLink): Promise<boolean> => {
    const isFresh = await gate.pass();
    const closing = isFresh ? closedBy() : 'not-ready';
    if (closing === undefined) return true;
    refuse(caller, typedError(closing, 'refused: this node takes no exchanges now'), comeBackUs);
    return false;
  };

  /** Whom a request comes from; one without a key that it needs is refused at once, before anything is counted or held. */
  const authenticated = (
    setup: Setup,
    rule: Rule,
    apiKey: string | undefined,
    caller: CallerLink,
  ): Exclude<Access, { readonly type: 'denied' }> | undefined => {
    const access = accessOf(setup, rule, apiKey);
    if (access.type !== 'denied') return access;
    refuse(caller, typedError('unknown-key', 'the request carries no key of a tenant'));
    return undefined;
  };

  /**
   * Spends what a request costs of its tenant's quota; undefined where it was refused, or its caller has left meanwhile.
   * The answer comes at once where tokens are at hand, and within a fraction of a second otherwise.
   */
  const paid = async (
    access: Access,
    rule: Rule,
    toldTokens: number | undefined,
    caller: CallerLink,
  ): Promise<QuotaHold | undefined> => {
    const limit = access.type === 'tenant' ? access.tenant.quota : undefined;
    if (access.type !== 'tenant' || limit === undefined || limit.ratePerSecond === 0) return freeHold;
    const tenant = access.tenant.name;
    const cost = quotaCostOf(limit, toldTokens);
    const exchange = router.nextExchange();
    const answer = await quota.spend(exchange, tenant, cost);
    if (answer.type === 'rejected') {
      const error = typedError(answer.cause, quotaRefusals[answer.cause]);
      router.noteRefusal(exchange, rule, error, { tenant, cost, retryAfterUs: answer.retryAfterUs });
      refuse(caller, error, answer.retryAfterUs, exchange);
      return undefined;
    }
    const hold = openQuotaHold(quota, { tenant, cost, source: answer.source });
    if (!caller.isGone()) return hold;
    counters.count('exchanges.abandoned');
    hold.end();
    return undefined;
  };

  /** Claims a key of a run-once kind on the core before anything is delivered; the exchange that won it, if it did. */
  const claimed = async (rule: Rule, givenKey: string, caller: CallerLink): Promise<string | undefined> => {
    const exchange = router.nextExchange();
    const key = claimKeyOf(rule, givenKey);
    const refuseClaim = (why: string): void => {
      const error = typedError('no-claim', `refused, nothing was delivered: ${why}`);
      router.noteRefusal(exchange, rule, error);
      refuse(caller, error, comeBackUs, exchange);
    };
    const asked = await core.ask(
      { type: 'propose', command: { type: 'claim', key, exchange, atUs: spread.platformUs() } },
      claimBudgetOf(rule),
    );
    return asked.caseOf<string | undefined>({
      Left: (error) => {
        refuseClaim(`the key could not be claimed (${error.message})`);
        return undefined;
      },
      Right: (receipt) => {
        const outcome = receipt.type === 'applied' ? receipt.outcome : undefined;
        if (outcome?.type === 'claimed' && outcome.won) return exchange;
        if (outcome?.type === 'claimed') {
          counters.count('unknown.repeated-key');
          caller.unknown(typedError('repeated-key', 'the key is claimed by an earlier exchange, which may have run'), {
            holder: outcome.holder,
          });
        } else refuseClaim('no more keys can be claimed');
        return undefined;
      },
    });
  };

  let underWay = 0;
  const admit: Admission['arrive'] = async (sent, givenKey, caller, apiKey) => {
    const parsed = sent.chain((value) =>
      checked(exchangeBodySchema, value).mapLeft((faults) =>
        typedError('bad-exchange', 'the exchange does not hold', faults),
      ),
    );
    if (parsed.isLeft()) {
      parsed.ifLeft((error) => refuse(caller, error, error.type === 'over-memory' ? comeBackUs : undefined));
      return;
    }
    const body = parsed.unsafeCoerce();
    if (!isKey(givenKey)) {
      refuse(caller, typedError('bad-exchange', 'Idempotency-Key must be 1 to 200 visible characters'));
      return;
    }
    if (!(await isOpenTo(caller))) return;
    const setup = router.view().record?.setup;
    const rule = setup?.rules.find((knownRule) => knownRule.kind === body.kind);
    if (setup === undefined || rule === undefined) {
      refuse(caller, typedError('unknown-kind', `no rule is for kind ${body.kind}`));
      return;
    }
    const access = authenticated(setup, rule, apiKey, caller);
    if (access === undefined) return;
    const hold = await paid(access, rule, body.tokens, caller);
    if (hold === undefined) return;
    if (rule.repeatable || givenKey === undefined) {
      router.accept({ rule, body, caller, apiKey, access, quota: hold, claimed: undefined });
      return;
    }
    if (router.inFlight() >= setup.pressure.slots) {
      hold.end();
      refuse(caller, typedError('over-pressure', 'refused: too many exchanges are under way'), comeBackUs);
      return;
    }
    const exchange = await claimed(rule, givenKey, caller);
    if (exchange === undefined) hold.end();
    else
      router.accept({
        rule,
        body,
        caller,
        apiKey,
        access,
        quota: hold,
        claimed: { key: claimKeyOf(rule, givenKey), exchange },
      });
  };

  const admitOpaque: Admission['arriveOpaque'] = async (exchange, caller) => {
    if (!(await isOpenTo(caller))) return;
    const setup = router.view().record?.setup;
    const rule = setup === undefined ? undefined : ruleAt(setup, exchange.host, exchange.path);
    if (setup === undefined || rule === undefined) {
      refuse(caller, typedError('unknown-place', 'no rule is for this host and path'));
      return;
    }
    const access = authenticated(setup, rule, exchange.apiKey, caller);
    if (access === undefined) return;
    const hold = await paid(access, rule, exchange.toldTokens, caller);
    if (hold === undefined) return;
    router.accept({
      rule,
      body: {
        kind: rule.kind,
        opening: exchange.opening.length === 0 ? exchange.name : prefixTextOf(exchange.opening),
        budgetUs: exchange.budgetUs,
      },
      opaque: exchange,
      caller,
      apiKey: exchange.apiKey,
      access,
      quota: hold,
      claimed: undefined,
    });
  };

  /** Counts a request while it is on its way in. */
  const counted = async (admitting: Promise<void>): Promise<void> => {
    underWay += 1;
    await admitting.finally(() => {
      underWay -= 1;
    });
  };

  return {
    arriveOpaque: (exchange, caller) => counted(admitOpaque(exchange, caller)),
    underWay: () => underWay,
    arrive: (sent, givenKey, caller, apiKey) => counted(admit(sent, givenKey, caller, apiKey)),
  };
};
