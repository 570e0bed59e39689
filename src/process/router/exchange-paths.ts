import type { IncomingMessage, ServerResponse } from 'node:http';
import { checked } from '../../common/checked.js';
import type { ErrorType } from '../../common/error-type.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { Micros } from '../../common/micros.js';
import { exchangeBodySchema, type ExchangeBody } from '../../router/exchange/exchange-body.js';
import type { Rule } from '../../setup/document/rule.js';
import type { CoreClient } from '../core-client.js';
import type { Counters } from '../counters.js';
import type { HttpServer } from '../http/http-server.js';
import { readJsonBody } from '../http/read-body.js';
import { reply, replyError } from '../http/reply.js';
import type { SpreadTask } from '../spread-task.js';
import { refusalStatusOf, unknownStatusOf } from './error-status.js';
import { claimBudgetOf } from '../../router/exchange/claim-budget.js';
import type { RefreshGate } from './refresh-gate.js';
import type { RouterTask } from './router-task.js';

const mostBodyBytes = 1 << 20;
const comeBackUs: Micros = 1_000_000;
const keyForm = /^[\x21-\x7e]{1,200}$/;

type Edge = {
  readonly router: RouterTask;
  readonly spread: SpreadTask;
  readonly core: CoreClient;
  readonly gate: RefreshGate;
  readonly counters: Counters;
  /** Why new exchanges can not be taken; none when they can. */
  readonly closedBy: () => ErrorType | undefined;
  /** Whether the node is about to stop, so that callers should look for another. */
  readonly isStopping: () => boolean;
};

const refuse = (response: ServerResponse, error: TypedError, retryAfterUs?: Micros): void =>
  replyError(response, refusalStatusOf(error.type), error, { outcome: 'refused' }, retryAfterUs);

type ClaimEnd = { readonly type: 'won'; readonly exchange: string } | { readonly type: 'ended' };

/** Claims a key of a run-once kind on the core before anything is delivered. */
const claim = async ({ router, spread, core, counters }: Edge, rule: Rule, givenKey: string, response: ServerResponse): Promise<ClaimEnd> => {
  const exchange = router.nextExchange();
  const key = `${rule.kind}/${givenKey}`;
  const asked = await core.ask({ type: 'propose', command: { type: 'claim', key, exchange, atUs: spread.platformUs() } }, claimBudgetOf(rule));
  return asked.caseOf<ClaimEnd>({
    Left: (error) => {
      counters.count('refused.no-claim');
      refuse(response, typedError('no-claim', `refused, nothing was delivered: the key could not be claimed (${error.message})`), comeBackUs);
      return { type: 'ended' };
    },
    Right: (answer) => {
      const outcome = answer.type === 'applied' ? answer.outcome : undefined;
      if (outcome?.type === 'claimed' && outcome.won) return { type: 'won', exchange };
      if (outcome?.type === 'claimed') {
        counters.count('unknown.repeated-key');
        replyError(response, unknownStatusOf('repeated-key'), typedError('repeated-key', 'the key is claimed by an earlier exchange, which may have run'), {
          outcome: 'unknown',
          holder: outcome.holder,
        });
        return { type: 'ended' };
      }
      counters.count('refused.no-claim');
      refuse(response, typedError('no-claim', 'refused, nothing was delivered: no more keys can be claimed'), comeBackUs);
      return { type: 'ended' };
    },
  });
};

const arrive = async (edge: Edge, message: IncomingMessage, response: ServerResponse): Promise<void> => {
  const { router, gate, closedBy } = edge;
  if (edge.isStopping()) response.setHeader('connection', 'close');
  const parsed = (await readJsonBody(message, mostBodyBytes, 'bad-exchange')).chain((value) =>
    checked(exchangeBodySchema, value).mapLeft((faults) => typedError('bad-exchange', 'the exchange does not hold', faults)),
  );
  if (parsed.isLeft()) {
    parsed.ifLeft((error) => {
      edge.counters.count(`refused.${error.type}`);
      if (error.type === 'oversized-body') response.setHeader('connection', 'close');
      refuse(response, error);
    });
    return;
  }
  const body: ExchangeBody = parsed.unsafeCoerce();
  const givenKey = message.headers['idempotency-key'];
  if (givenKey !== undefined && (typeof givenKey !== 'string' || !keyForm.test(givenKey))) {
    refuse(response, typedError('bad-exchange', 'Idempotency-Key must be 1 to 200 visible characters'));
    return;
  }
  const isFresh = await gate.pass();
  const closing = isFresh ? closedBy() : 'not-ready';
  if (closing !== undefined) {
    edge.counters.count(`refused.${closing}`);
    refuse(response, typedError(closing, 'refused: this node takes no exchanges now'), comeBackUs);
    return;
  }
  const setup = router.view().record?.setup;
  const rule = setup?.rules.find((knownRule) => knownRule.kind === body.kind);
  if (setup === undefined || rule === undefined) {
    edge.counters.count('refused.unknown-kind');
    refuse(response, typedError('unknown-kind', `no rule is for kind ${body.kind}`));
    return;
  }
  if (rule.repeatable || givenKey === undefined) {
    router.accept({ rule, body, response, claimed: undefined });
    return;
  }
  if (router.inFlight() >= setup.pressure.slots) {
    edge.counters.count('refused.over-pressure');
    refuse(response, typedError('over-pressure', 'refused: too many exchanges are under way'), comeBackUs);
    return;
  }
  const claimEnd = await claim(edge, rule, givenKey, response);
  if (claimEnd.type === 'won') router.accept({ rule, body, response, claimed: { key: `${rule.kind}/${givenKey}`, exchange: claimEnd.exchange } });
};

/** What callers use, and what explains where their exchanges went. */
export const addExchangePaths = ({ app }: HttpServer, edge: Edge): void => {
  app.post('/exchanges', (message, response) => arrive(edge, message, response));
  app.get('/explain/:exchange', (message, response) => {
    const story = edge.router.stories.find(String(message.params['exchange'] ?? ''));
    if (story === undefined) replyError(response, 404, typedError('unknown-exchange', 'this node keeps no story of that exchange'));
    else reply(response, 200, story);
  });
  app.get('/stage', (_message, response) => {
    const { stage, offsetUs, atUs } = edge.router.view();
    reply(response, 200, {
      platformUs: offsetUs === undefined ? undefined : atUs + offsetUs,
      services: [...stage.services.values()].map((service) => ({
        service: service.service,
        servers: [...new Set(service.ring.vnodes.map((vnode) => vnode.owner))].sort(),
        pending: service.pending.map(({ name, fromUs, commitUs, ranges }) => ({ name, fromUs, commitUs, ranges: ranges.length })),
        settling: service.settling.map(({ name, commitUs, settledUs }) => ({ name, commitUs, settledUs })),
        joining: service.joining,
      })),
    });
  });
};
