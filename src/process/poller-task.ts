import { Left, type Either } from 'purify-ts';
import { callEvery } from '../common/clock/every.js';
import { raceTimeout } from '../common/clock/race-timeout.js';
import type { Micros } from '../common/micros.js';
import { messageOf, typedError, type TypedError } from '../common/typed-error.js';
import type { ListReading } from '../servers/source/list-reading.js';
import type { PollerEvent } from '../servers/source/poller-event.js';
import { initialPollerView, stepPoller } from '../servers/source/poller-machine.js';
import type { PeerRole } from '../spread/peer/peer-role.js';
import type { Counters } from './counters.js';
import type { Log } from './log.js';
import type { GossipTask } from './gossip-task.js';
import type { Surroundings } from './surroundings/surroundings.js';

/** The task that asks the platform for its list when it is this node's turn. */
export type PollerTask = {
  readonly start: () => void;
  readonly close: () => void;
};

const tickUs: Micros = 100_000;
const readBudgetUs: Micros = 1_000_000;

/** Without a source in the surroundings the list is told, and the task does nothing. */
export const openPollerTask = (
  role: PeerRole,
  node: string,
  spread: Pick<GossipTask, 'events' | 'offerReading'>,
  log: Log,
  counters: Counters,
  { clock, listSource }: Pick<Surroundings, 'clock' | 'listSource'>,
): PollerTask => {
  if (listSource === undefined) return { start: () => undefined, close: () => undefined };
  let view = initialPollerView(role, node, clock.now());
  let isClosed = false;
  let endTicks = (): void => undefined;

  const take = (event: PollerEvent): void => {
    const step = stepPoller(view, event);
    if (step.view.isPoller !== view.isPoller)
      log.change(step.view.isPoller ? 'asks for the list' : 'asks for the list no more', {});
    view = step.view;
    if (step.effects.length > 0) void ask();
  };

  const read = async (): Promise<Either<TypedError, ListReading>> => {
    try {
      const reading = await raceTimeout(clock, listSource.read(), readBudgetUs);
      return reading ?? Left(typedError('unreachable', 'the platform did not answer in time'));
    } catch (thrown) {
      return Left(typedError('unreachable', messageOf(thrown)));
    }
  };

  const refused = (error: TypedError): void => {
    counters.count(`list.read.${error.type}`);
    take({ type: 'error', at: clock.now(), error: error.type });
  };

  const ask = async (): Promise<void> => {
    const begunAt = clock.now();
    counters.count('list.reads');
    const reading = await read();
    if (isClosed) return;
    reading.ifLeft(refused).ifRight((given) => {
      spread.offerReading(given, begunAt);
      if (given.whole) take({ type: 'read', at: clock.now() });
      else refused(typedError('incomplete', 'pages are missing'));
    });
  };

  spread.events.on('read', (by, ageUs) => take({ type: 'heard', at: clock.now(), by, ageUs }));

  return {
    start: () => {
      view = initialPollerView(role, node, clock.now());
      endTicks = callEvery(clock, tickUs, () => take({ type: 'tick', at: clock.now() }));
    },
    close: () => {
      isClosed = true;
      endTicks();
    },
  };
};
