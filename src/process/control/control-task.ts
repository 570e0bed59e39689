import { EitherAsync } from 'purify-ts';
import { callEvery } from '../../common/clock/every.js';
import { delay } from '../../common/clock/delay.js';
import type { Micros } from '../../common/micros.js';
import type { TypedError } from '../../common/typed-error.js';
import type { ControlEvent } from '../../control/machine/control-event.js';
import type { ControlStep } from '../../control/machine/control-step.js';
import type { Replica } from '../../control/machine/replica.js';
import { stateBytesOf } from '../../control/machine/state-limit.js';
import { transferTimeoutUs } from '../../control/machine/parameters.js';
import { snapshotRecordsOf } from '../../control/persistence/recovery.js';
import type { DiskRing } from '../../disk/disk-ring.js';
import type { Counters } from '../counters.js';
import type { Log } from '../log.js';
import { openMailbox } from '../mailbox.js';
import type { ControlSettings } from '../settings/control-settings.js';
import type { GossipTask } from '../gossip-task.js';
import type { Surroundings } from '../surroundings/surroundings.js';
import { openDurableWriter } from './durable-writer.js';
import { openEffectRunner } from './effect-runner.js';
import { openReplica } from './open-replica.js';
import { openWithRetry } from './open-ring.js';
import { openRestoreProposal } from './restore-proposal.js';
import { openStallHeartbeats } from './stall-heartbeats.js';
import { stepBatch } from './step-batch.js';

/** Owns the control state machine (a Raft replica) and its disk. */
export type ControlTask = {
  readonly replica: () => Replica;
  readonly start: () => void;
  /** Asks the state machine to transfer leadership; resolves when the transfer has ended or timed out. */
  readonly resign: () => Promise<void>;
  readonly close: () => Promise<void>;
};

type Opened = { readonly ring: DiskRing; readonly replica: Replica };

type TaskSurroundings = Pick<Surroundings, 'clock' | 'chance' | 'freshName' | 'openRing'>;

const tickUs: Micros = 25_000;

const openDisk = (
  settings: ControlSettings,
  { openRing, freshName }: TaskSurroundings,
): EitherAsync<TypedError, Opened> =>
  openRing(settings.data, { files: settings.ringFiles, fileBytes: settings.ringFileBytes }).chain((ring) =>
    openReplica(ring, settings, freshName).map((replica) => ({ ring, replica })),
  );

/** Runs the control state machine on a recovered replica. */
const runControlTask = (
  { ring, replica: openedReplica }: Opened,
  spread: GossipTask,
  log: Log,
  counters: Counters,
  { clock, chance, freshName }: TaskSurroundings,
  fail: (error: TypedError) => void,
): ControlTask => {
  let replica = openedReplica;
  let syncedReplica = openedReplica;
  let hasBrokenInvariant = false;
  let stopTicks = (): void => undefined;
  const runner = openEffectRunner(() => replica, spread, log, counters);
  const snapshotRecords = () => snapshotRecordsOf(replica);
  const writer = openDurableWriter({ ring, snapshotRecords, clock, log, counters, fail });
  const stallHeartbeats = openStallHeartbeats(writer);
  const restoreProposal = openRestoreProposal();

  /** Nothing of a batch that broke an invariant is persisted or sent: the process exits and recovers from its disk. */
  const endOnBrokenInvariant = (error: TypedError): void => {
    hasBrokenInvariant = true;
    counters.count('control.brokenInvariants');
    log.change('invariant broken', { error });
    fail(error);
  };

  /** Runs the effects of a step only after its records are synced to disk. */
  const applyStep = async (step: ControlStep): Promise<void> => {
    replica = step.replica;
    const records = step.effects.flatMap((effect) => (effect.type === 'persist' ? [effect.record] : []));
    if (!(await writer.persist(records))) return;
    syncedReplica = replica;
    step.effects.forEach(runner.run);
  };

  const mailbox = openMailbox<ControlEvent>(async (events) => {
    if (hasBrokenInvariant || writer.hasFailed()) return;
    await stepBatch(replica, events).caseOf<Promise<void>>({
      Left: (error) => Promise.resolve(endOnBrokenInvariant(error)),
      Right: applyStep,
    });
  });

  /** Without a leader, all known addresses of control nodes are tried, so that a node finds the core even if its seeds are stale. */
  const discoveryEvents = (): readonly ControlEvent[] => {
    if (replica.leader !== undefined) return [];
    const { seeds, partners } = spread.view();
    const addresses = [...partners.values()].flatMap(({ partner }) =>
      partner.role === 'control' ? [partner.address] : [],
    );
    return [{ type: 'known', at: clock.now(), seeds, addresses: [...addresses, ...runner.knownAddresses()] }];
  };

  /** Proposes the newest setup known through gossip, if the core's is older. */
  const restore = (): void => {
    const command = restoreProposal(replica, spread.view().record, clock.now());
    if (command !== undefined) mailbox.post({ type: 'propose', at: clock.now(), requestId: freshName(), command });
  };

  const tick = (): void => {
    const nowUs = clock.now();
    [...discoveryEvents(), { type: 'tick' as const, at: nowUs, chance: chance() }].forEach(mailbox.post);
    restore();
    stallHeartbeats(syncedReplica, nowUs).forEach(runner.run);
  };

  spread.events.on('control', (from, { identity, to, message }) => {
    runner.recordNodeAddress(identity, from);
    if (to !== undefined && to !== replica.identity) return;
    mailbox.post({ type: 'message', at: clock.now(), chance: chance(), from: identity, message });
  });
  spread.events.on('request', (from, { requestId, request }) => {
    restore();
    runner.recordRequester(requestId, from);
    mailbox.post(
      request.type === 'read'
        ? { type: 'read', at: clock.now(), requestId, proposal: request.proposal }
        : { type: 'propose', at: clock.now(), requestId, command: request.command },
    );
  });
  counters.gauge('control.term', () => replica.term);
  counters.gauge('control.commit', () => replica.commit);
  counters.gauge('control.leads', () => (replica.role === 'leader' && !writer.refuses() ? 1 : 0));
  counters.gauge('control.snapshotBytes', () => stateBytesOf(replica.snapshot.state));
  counters.gauge('disk.stalledUs', () => writer.stalledUs() ?? 0);

  return {
    replica: () => replica,
    start: () => {
      stopTicks = callEvery(clock, tickUs, tick);
    },
    resign: async () => {
      writer.end();
      const deadlineUs = clock.now() + transferTimeoutUs;
      mailbox.post({ type: 'resign', at: clock.now(), chance: chance() });
      await mailbox.idle();
      while (replica.transferDeadlineUs !== undefined && clock.now() < deadlineUs) await delay(clock, tickUs);
    },
    close: async () => {
      stopTicks();
      writer.end();
      await mailbox.idle();
      await ring.close();
    },
  };
};

/**
 * Opens the disk and the replica that is stored on it. A disk that refuses at first is retried; a damaged one is an error.
 * `fail` is called once when the disk has failed for good or a step broke an invariant of the log.
 */
export const openControlTask = (
  settings: ControlSettings,
  spread: GossipTask,
  log: Log,
  counters: Counters,
  surroundings: TaskSurroundings,
  fail: (error: TypedError) => void,
): EitherAsync<TypedError, ControlTask> =>
  openWithRetry(() => openDisk(settings, surroundings), surroundings.clock, log).map((opened) => {
    const { interrupted } = opened.ring.recovered;
    if (interrupted.length > 0)
      log.change('removed files of an interrupted ring file rotation', { files: interrupted });
    return runControlTask(opened, spread, log, counters, surroundings, fail);
  });
