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

/** Polls the platform's server list while this node is the poller of the fleet. */
export type PollerTask = {
  readonly start: () => void;
  readonly close: () => void;
};

const tickUs: Micros = 100_000;
const readTimeoutUs: Micros = 1_000_000;

/** Without a list source the platform pushes the list, and the task does nothing. */
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
  let stopTicks = (): void => undefined;

  const handle = (event: PollerEvent): void => {
    const step = stepPoller(view, event);
    if (step.view.isPoller !== view.isPoller)
      log.change(step.view.isPoller ? 'became poller of the server list' : 'no longer poller of the server list', {});
    view = step.view;
    if (step.effects.length > 0) void poll();
  };

  const read = async (): Promise<Either<TypedError, ListReading>> => {
    try {
      const reading = await raceTimeout(clock, listSource.read(), readTimeoutUs);
      return reading ?? Left(typedError('unreachable', 'the platform did not respond within the time-out'));
    } catch (thrown) {
      return Left(typedError('unreachable', messageOf(thrown)));
    }
  };

  const fail = (error: TypedError): void => {
    counters.count(`list.read.${error.type}`);
    handle({ type: 'error', at: clock.now(), error: error.type });
  };

  const poll = async (): Promise<void> => {
    const begunAt = clock.now();
    counters.count('list.reads');
    const polled = await read();
    if (isClosed) return;
    polled.ifLeft(fail).ifRight((reading) => {
      spread.offerReading(reading, begunAt);
      if (reading.whole) handle({ type: 'read', at: clock.now() });
      else fail(typedError('incomplete', 'the reading of the server list is incomplete'));
    });
  };

  spread.events.on('read', (by, ageUs) => handle({ type: 'heard', at: clock.now(), by, ageUs }));

  return {
    start: () => {
      view = initialPollerView(role, node, clock.now());
      stopTicks = callEvery(clock, tickUs, () => handle({ type: 'tick', at: clock.now() }));
    },
    close: () => {
      isClosed = true;
      stopTicks();
    },
  };
};
