import { checkRegister } from '../../rehearsal/checker/linearizability/check-register.js';
import {
  emptyRegister,
  type OrderAnswer,
  type OrderOperation,
  type RegisterOperation,
  type RegisterValue,
} from '../../rehearsal/checker/linearizability/register-operation.js';
import type { OperatorReply } from '../../process/operator/operator-reply.js';
import type { Micros } from '../../common/micros.js';
import { sampleSetup } from '../sample-setup.js';
import type { CoreFleet } from './core-fleet.js';
import { operatorServiceOn, type OperatorRoute } from './sim-operator-service.js';
import type { SimControl } from './sim-control.js';

/** An order of a document: its version, its title, and the version it is built on. */
export type DocumentOrder = {
  readonly version: number;
  readonly title: string;
  readonly base: number;
  /** How many further characters the document has. */
  readonly paddingChars?: number;
};

/** What an operator was told about an order; refused means that nothing was begun. */
export type ToldAnswer = OrderAnswer | 'refused';

/** An operation with the machine it was sent to. */
export type SentOperation = { readonly machine: SimControl; readonly operation: RegisterOperation };

/** Operators that send orders and reads to chosen machines, with the history of what they were told. */
export type ConfigurationClient = {
  readonly order: (machine: SimControl, order: DocumentOrder) => Promise<ToldAnswer>;
  /** None where the machine gave no record. */
  readonly read: (machine: SimControl) => Promise<RegisterValue | undefined>;
  /** What has been told so far, with the machine that told it. */
  readonly sent: () => readonly SentOperation[];
  /** The newest version that anyone was told. */
  readonly newestVersion: () => number;
  /** The longest waits for an answer of machines that were up all the while. */
  readonly slowestUs: () => { readonly order: Micros; readonly read: Micros };
  /** What breaks linearizability, if anything. */
  readonly violation: () => string | undefined;
};

export type ConfigurationClientPlan = Omit<OperatorRoute, 'machine'>;

/** The title stands in front, so that histories need not hold whole documents. */
const titleEnd = '\n';

const textOf = ({ title, paddingChars = 0 }: DocumentOrder): string => `${title}${titleEnd}${'x'.repeat(paddingChars)}`;

const titleOf = (text: string): string => {
  const end = text.indexOf(titleEnd);
  return `${text.slice(0, end)} (${text.length - end - titleEnd.length})`;
};

/** Names of setups hold no spaces. */
const setupNameOf = (title: string): string => title.replaceAll(' ', '-');

const answerOf = (reply: OperatorReply): ToldAnswer => {
  if (reply.type === 'refused') return 'refused';
  if (reply.type !== 'decided') return 'unknown';
  return reply.outcome.type === 'committed' ? 'committed' : 'conflict';
};

const valueOf = (reply: OperatorReply): RegisterValue | undefined => {
  if (reply.type === 'none') return emptyRegister;
  const original = reply.type === 'record' ? reply.record.original : undefined;
  return original === undefined ? undefined : { version: original.version, text: titleOf(original.text) };
};

export const openConfigurationClient = (fleet: CoreFleet, plan: ConfigurationClientPlan = {}): ConfigurationClient => {
  const { world } = fleet;
  const sent: SentOperation[] = [];
  const openOrders = new Map<number, OrderOperation>();
  let orderCount = 0;
  let newestVersion = 0;
  let slowest = { order: 0, read: 0 };

  const serviceAt = (machine: SimControl) => operatorServiceOn(fleet, { ...plan, machine: () => machine });

  const noteSpan = (type: 'order' | 'read', machine: SimControl, boot: number, calledUs: Micros): void => {
    if (machine.isUp() && !machine.node.isFrozen() && machine.node.boot() === boot)
      slowest = { ...slowest, [type]: Math.max(slowest[type], world.now() - calledUs) };
  };

  return {
    order: async (machine, order) => {
      const calledUs = world.now();
      const boot = machine.node.boot();
      const text = textOf(order);
      const unanswered: OrderOperation = {
        type: 'order',
        client: machine.name,
        calledUs,
        answeredUs: Number.POSITIVE_INFINITY,
        value: { version: order.version, text: titleOf(text) },
        base: order.base,
        answer: 'unknown',
      };
      orderCount += 1;
      const place = orderCount;
      openOrders.set(place, unanswered);
      const reply = await serviceAt(machine).putOriginal({
        setup: sampleSetup(setupNameOf(order.title)),
        original: { version: order.version, text },
        expectedVersion: order.base,
      });
      const answer = answerOf(reply);
      if (reply.type === 'refused' && reply.error.type !== 'unreachable')
        fleet.rules.breakRule(`orders-hold: ${order.title} was refused as ${reply.error.type}`);
      openOrders.delete(place);
      noteSpan('order', machine, boot, calledUs);
      if (answer === 'committed') newestVersion = Math.max(newestVersion, order.version);
      if (answer !== 'refused') sent.push({ machine, operation: { ...unanswered, answeredUs: world.now(), answer } });
      return answer;
    },
    read: async (machine) => {
      const calledUs = world.now();
      const boot = machine.node.boot();
      const value = valueOf(await serviceAt(machine).read());
      noteSpan('read', machine, boot, calledUs);
      newestVersion = Math.max(newestVersion, value?.version ?? 0);
      if (value !== undefined)
        sent.push({
          machine,
          operation: { type: 'read', client: machine.name, calledUs, answeredUs: world.now(), value },
        });
      return value;
    },
    sent: () => sent,
    newestVersion: () => newestVersion,
    slowestUs: () => slowest,
    violation: () => {
      const verdict = checkRegister([...sent.map(({ operation }) => operation), ...openOrders.values()]);
      if (verdict.type === 'linearizable') return undefined;
      return verdict.type === 'violation'
        ? `linearizable: ${verdict.detail}`
        : `linearizable: not decided after ${verdict.searchedStates} states`;
    },
  };
};

/** Committed orders among what was told, for the counts of a run. */
export const countAnswers = (client: ConfigurationClient): Readonly<Record<string, number>> => {
  const counts: Record<string, number> = { committed: 0, conflict: 0, unknown: 0, read: 0 };
  for (const { operation } of client.sent()) {
    const name = operation.type === 'read' ? 'read' : operation.answer;
    counts[name] = (counts[name] ?? 0) + 1;
  }
  return counts;
};
