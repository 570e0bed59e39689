import type { Micros } from '../common/micros.js';
import type { TypedError } from '../common/typed-error.js';
import { prefixTextOf } from '../decision/work/work-of.js';
import { unmeteredHold } from '../router/exchange/quota-hold.js';
import type { ClientLink } from '../router/delivery/client-link.js';
import type { OpaqueExchange } from '../router/opaque/opaque-exchange.js';
import type { OpeningPart } from '../router/opaque/opening-part.js';
import type { Rule } from '../setup/document/rule.js';
import type { World } from '../sim/world/world.js';
import { exponential, logNormal, skewed } from './draws.js';
import type { EmulatedRouter } from './emulated-routers.js';
import type { ExperimentClass, ExperimentFault } from './deployment.js';

/** What came of one request. */
export type RequestEnd = {
  readonly kind: string;
  readonly sentUs: Micros;
  readonly outcome: 'in-time' | 'late' | 'refused' | 'failed';
  /** From the first try to the first piece, where one came. */
  readonly firstUs: Micros | undefined;
  readonly readTokens: number;
};

export type EmulatedClientsPlan = {
  readonly world: World;
  readonly routers: readonly EmulatedRouter[];
  readonly ruleOf: (kind: string) => Rule;
  readonly faults: readonly ExperimentFault[];
  readonly clientUs: Micros;
  readonly endUs: Micros;
  readonly tell: (end: RequestEnd) => void;
};

const secondUs = 1_000_000;
const furtherTries = 1;
/** A refused request waits as it is told, but no longer than a third of the time that is left. */
const mostWaitPart = 1 / 3;

/** Sends requests of one class until the end, each to a router by chance. */
export const sendClass = (plan: EmulatedClientsPlan, made: ExperimentClass): void => {
  const { world, routers, faults, endUs } = plan;
  const { chance } = world;
  const rule = plan.ruleOf(made.kind);
  const sizes = (made.parts ?? []).map((part) =>
    Array.from({ length: part.things }, () => Math.round(part.tokens * logNormal(chance, part.spread))),
  );
  let count = 0;

  const faultNow = (kind: ExperimentFault['kind']): ExperimentFault | undefined =>
    faults.find(
      (fault) =>
        fault.kind === kind &&
        fault.class === made.kind &&
        world.now() >= fault.atS * secondUs &&
        world.now() < (fault.atS + fault.forS) * secondUs,
    );

  const drawOpening = (): readonly OpeningPart[] => {
    const hot = faultNow('hot-prefix');
    const isHot = hot !== undefined && chance() < hot.share;
    return (made.parts ?? []).map((part, level) => {
      const thing = isHot ? 0 : skewed(chance, part.things, part.skew);
      return { part: `${made.kind}-${level}-${thing}`, tokens: sizes[level]?.[thing] ?? 0 };
    });
  };

  const draw = (): OpaqueExchange => {
    count += 1;
    const name = `${made.kind}-${count}`;
    const parts = drawOpening();
    const own =
      made.own === undefined
        ? 0
        : Math.min(made.own.most, Math.round(made.own.tokens * logNormal(chance, made.own.spread)));
    const opening = parts.length === 0 ? [] : [...parts, { part: name, tokens: own }];
    const written = made.writeTokens;
    return {
      name,
      host: 'a.example',
      path: `/${made.kind}/`,
      method: 'POST',
      target: `/${made.kind}/`,
      headers: [],
      body: new Uint8Array(0),
      lastEventId: undefined,
      opening,
      readTokens: opening.reduce((sum, { tokens }) => sum + tokens, 0),
      writeTokens:
        written === undefined
          ? 0
          : Math.max(1, Math.min(written.most, Math.round(written.mean * logNormal(chance, written.spread)))),
      budgetUs: made.budgetMs * 1_000,
    };
  };

  const attempt = (exchange: OpaqueExchange, sentUs: Micros, left: number): void => {
    const router = routers[Math.floor(chance() * routers.length)];
    if (router === undefined) return;
    const dueUs = sentUs + made.budgetMs * 1_000;
    let firstUs: Micros | undefined;
    let lastUs = 0;
    let longestGapUs = 0;
    let isOver = false;
    const end = (outcome: RequestEnd['outcome']): void => {
      if (isOver) return;
      isOver = true;
      plan.tell({ kind: made.kind, sentUs, outcome, firstUs, readTokens: exchange.readTokens });
    };
    const note = (): void => {
      const nowUs = world.now() + plan.clientUs;
      if (firstUs === undefined) firstUs = nowUs - sentUs;
      else longestGapUs = Math.max(longestGapUs, nowUs - lastUs);
      lastUs = nowUs;
    };
    const finish = (): void => {
      const isInTime = (firstUs ?? 0) <= made.targetMs * 1_000 && longestGapUs <= made.gapMs * 1_000;
      end(isInTime ? 'in-time' : 'late');
    };
    const refuse = (_error: TypedError, _exchange?: string, retryAfterUs: Micros = 0): void => {
      const leftUs = dueUs - world.now();
      if (isOver || left === 0 || leftUs <= 0) {
        end('refused');
        return;
      }
      isOver = true;
      world.after(Math.min(retryAfterUs, leftUs * mostWaitPart), () => attempt(exchange, sentUs, left - 1));
    };
    const caller: ClientLink = {
      opaque: {
        writeHead: () => undefined,
        write: () => {
          note();
          return true;
        },
        onDrain: () => undefined,
        pendingBytes: () => 0,
        abort: () => end('failed'),
        end: finish,
        whole: ({ status }) => {
          note();
          if (status < 300) finish();
          else end('failed');
        },
      },
      isGone: () => false,
      onGone: () => undefined,
      piece: () => Promise.resolve(false),
      end: () => end('failed'),
      receipt: () => end('failed'),
      refuse,
      unknown: () => end('failed'),
      breakOff: () => end('failed'),
    };
    world.after(plan.clientUs, () =>
      router.task.accept({
        rule,
        body: {
          kind: rule.kind,
          opening: exchange.opening.length === 0 ? exchange.name : prefixTextOf(exchange.opening),
          budgetUs: Math.max(1_000, dueUs - world.now()),
        },
        opaque: { ...exchange, budgetUs: Math.max(1_000, dueUs - world.now()) },
        client: caller,
        apiKey: undefined,
        access: { type: 'open' },
        quota: unmeteredHold,
        claimed: undefined,
      }),
    );
  };

  const next = (): void => {
    const burst = faultNow('burst');
    const perSecond = made.perSecond * (burst?.strength ?? 1);
    world.after((exponential(chance) * secondUs) / perSecond, () => {
      if (world.now() >= endUs) return;
      attempt(draw(), world.now(), furtherTries);
      next();
    });
  };
  if (made.perSecond > 0) next();
};
