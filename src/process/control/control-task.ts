import { EitherAsync, type Either } from 'purify-ts';
import { paused } from '../../common/clock/paused.js';
import { every } from '../../common/clock/every.js';
import type { Micros } from '../../common/micros.js';
import type { TypedError } from '../../common/typed-error.js';
import { snapshotRecordsOf, recoverReplica } from '../../control/persistence/recovery.js';
import type { DurableRecord } from '../../control/log/durable-record.js';
import type { ControlEffect } from '../../control/machine/control-effect.js';
import type { ControlEvent } from '../../control/machine/control-event.js';
import { startReplica, usualVoters, type Replica } from '../../control/machine/replica.js';
import { membersOf, textCharsOf } from '../../control/machine/log-reading.js';
import { heartbeatsOf } from '../../control/machine/replication.js';
import { stepControl } from '../../control/machine/step.js';
import { diskStallLimitUs, heartbeatIntervalUs, maxAppendTextChars } from '../../control/machine/timing.js';
import { encodeDurableRecords, decodeDurableBatches } from '../../control/wire/durable-record-codec.js';
import type { DiskRing } from '../../disk/disk-ring.js';
import type { Counters } from '../counters.js';
import type { Log } from '../log.js';
import { openMailbox } from '../mailbox.js';
import type { ControlSettings } from '../settings/control-settings.js';
import type { SpreadTask } from '../spread-task.js';
import type { Surroundings } from '../surroundings/surroundings.js';

/** The task that owns the control machine and its disk. */
export type ControlTask = {
  readonly replica: () => Replica;
  readonly start: () => void;
  readonly resign: () => Promise<void>;
  readonly close: () => Promise<void>;
};

const tickUs: Micros = 25_000;
const restoreSpanUs: Micros = 500_000;
const refusedSpanUs: Micros = 200_000;

const recoverOrCreate = async (
  ring: DiskRing,
  settings: ControlSettings,
  freshName: () => string,
): Promise<Either<TypedError, Replica>> => {
  const recovered = [
    ...(ring.recovered.snapshot === undefined ? [] : [ring.recovered.snapshot]),
    ...ring.recovered.records,
  ];
  const freshReplica = startReplica(
    `${settings.node}-${freshName()}`,
    settings.partners,
    settings.seeds,
    settings.founds ?? true,
    settings.voters ?? usualVoters,
  );
  if (recovered.length > 0)
    return decodeDurableBatches(recovered).map((records) => recoverReplica(freshReplica, records));
  const kept = await ring.append(new Uint8Array(0), () =>
    encodeDurableRecords([{ type: 'identity', identity: freshReplica.identity, founds: freshReplica.founds }]),
  );
  return kept.map(() => freshReplica);
};

/** Records are kept together, unless the documents in them are too large for one. */
const batchesOf = (records: readonly DurableRecord[]): readonly (readonly DurableRecord[])[] => {
  if (records.length === 0) return [];
  const textChars = records
    .flatMap((record) => (record.type === 'entries' ? record.entries : []))
    .reduce((sum, entry) => sum + textCharsOf(entry), 0);
  return textChars > maxAppendTextChars ? records.map((record) => [record]) : [records];
};

const mayPass = (kept: Either<TypedError, void>): boolean =>
  kept.caseOf({ Left: (error) => error.type === 'disk-refusal', Right: () => false });

/** Opens the disk and the machine on it. `fail` is called once when the disk can no longer be written. */
export const openControlTask = (
  settings: ControlSettings,
  spread: SpreadTask,
  log: Log,
  counters: Counters,
  { clock, chance, freshName, openRing }: Pick<Surroundings, 'clock' | 'chance' | 'freshName' | 'openRing'>,
  fail: (error: TypedError) => void,
): EitherAsync<TypedError, ControlTask> =>
  openRing(settings.data, { files: settings.ringFiles, fileBytes: settings.ringFileBytes }).chain((ring) =>
    EitherAsync(async ({ liftEither }) => {
      const bornReplica = await liftEither(await recoverOrCreate(ring, settings, freshName));
      let replica = bornReplica;
      let syncedReplica = bornReplica;
      let pulsedUs = 0;
      let restoredUs = Number.NEGATIVE_INFINITY;
      let hasFailed = false;
      let refuses = false;
      let isClosing = false;
      let syncStartedUs: number | undefined;
      let endTicks = (): void => undefined;
      const knownAddresses = new Map<string, string>();
      const requesterAddresses = new Map<string, string>();

      const addressOf = (identity: string): string | undefined =>
        membersOf(replica).find((member) => member.identity === identity)?.address ?? knownAddresses.get(identity);

      const execute = (effect: ControlEffect): void => {
        switch (effect.type) {
          case 'persist':
            return;
          case 'send': {
            const address = addressOf(effect.to);
            if (address !== undefined)
              spread.send(address, {
                type: 'control',
                identity: replica.identity,
                to: effect.to,
                message: effect.message,
              });
            return;
          }
          case 'sendTo':
            spread.send(effect.address, {
              type: 'control',
              identity: replica.identity,
              message: effect.message,
            });
            return;
          case 'reply': {
            const address = requesterAddresses.get(effect.requestId);
            requesterAddresses.delete(effect.requestId);
            if (address === undefined) return;
            const reply =
              effect.reply.type === 'not-leader' && effect.reply.leader !== undefined
                ? { ...effect.reply, leader: addressOf(effect.reply.leader) }
                : effect.reply;
            spread.send(address, { type: 'reply', requestId: effect.requestId, reply });
            return;
          }
          case 'taken':
            counters.count('setups.taken');
            spread.offerSetup(effect.record);
            return;
          case 'role':
            log.change('role', { role: effect.role, term: effect.term, leader: effect.leader });
            return;
          case 'members':
            log.change('members', { members: effect.members });
            return;
        }
      };

      /**
       * Keeps records, however often the disk refuses them: it may take them later. Until then this machine says nothing,
       * so that a leader is followed by another one; what will never fit is the end of it.
       */
      const persist = async (records: readonly DurableRecord[]): Promise<boolean> => {
        const startedUs = clock.now();
        syncStartedUs = startedUs;
        const append = (): Promise<Either<TypedError, void>> =>
          ring.append(encodeDurableRecords(records), () => encodeDurableRecords(snapshotRecordsOf(replica)));
        let kept = await append();
        while (mayPass(kept) && !isClosing) {
          counters.count('disk.refusals');
          if (!refuses) kept.ifLeft((error) => log.change('disk refuses', { error }));
          refuses = true;
          await paused(clock, refusedSpanUs);
          kept = await append();
        }
        counters.count('disk.syncs');
        counters.count('disk.syncUs', clock.now() - startedUs);
        syncStartedUs = undefined;
        if (refuses && kept.isRight()) log.change('disk takes writes again', {});
        refuses = false;
        kept.ifLeft((error) => {
          hasFailed = true;
          if (!isClosing) fail(error);
        });
        return kept.isRight();
      };

      const persistAll = async (records: readonly DurableRecord[]): Promise<boolean> => {
        for (const batch of batchesOf(records)) if (!(await persist(batch))) return false;
        return true;
      };

      /** What is not led asks wherever core machines are known to be, also when all its seeds are stale. */
      const knownEvents = (): readonly ControlEvent[] => {
        if (replica.leader !== undefined) return [];
        const { seeds, partners } = spread.view();
        const addresses = [...partners.values()].flatMap(({ partner }) =>
          partner.role === 'control' ? [partner.address] : [],
        );
        return [{ type: 'known', at: clock.now(), seeds, addresses: [...addresses, ...knownAddresses.values()] }];
      };

      const mailbox = openMailbox<ControlEvent>(async (events) => {
        if (hasFailed) return;
        const effects: ControlEffect[] = [];
        for (const event of events) {
          const step = stepControl(replica, event);
          replica = step.replica;
          effects.push(...step.effects);
        }
        const records = effects.flatMap((effect) => (effect.type === 'persist' ? [effect.record] : []));
        if (!(await persistAll(records))) return;
        syncedReplica = replica;
        effects.forEach(execute);
      });

      spread.events.on('control', (from, frame) => {
        knownAddresses.set(frame.identity, from);
        if (frame.to !== undefined && frame.to !== replica.identity) return;
        mailbox.post({
          type: 'message',
          at: clock.now(),
          chance: chance(),
          from: frame.identity,
          message: frame.message,
        });
      });
      /** Gives a core that founded itself anew what the nodes still hold, before it takes anything else. */
      const restore = (): void => {
        const { record } = spread.view();
        if (
          replica.role !== 'leader' ||
          record === undefined ||
          record.revision <= (replica.state.record?.revision ?? 0)
        )
          return;
        if (clock.now() < restoredUs + restoreSpanUs) return;
        restoredUs = clock.now();
        mailbox.post({
          type: 'propose',
          at: clock.now(),
          requestId: freshName(),
          command: { type: 'restore', record },
        });
      };

      spread.events.on('request', (from, { requestId, request }) => {
        restore();
        requesterAddresses.set(requestId, from);
        if (requesterAddresses.size > 10_000)
          requesterAddresses.delete(requesterAddresses.keys().next().value ?? requestId);
        mailbox.post(
          request.type === 'read'
            ? { type: 'read', at: clock.now(), requestId, proposal: request.proposal }
            : { type: 'propose', at: clock.now(), requestId, command: request.command },
        );
      });
      counters.gauge('control.term', () => replica.term);
      counters.gauge('control.commit', () => replica.commit);
      counters.gauge('control.leads', () => (replica.role === 'leader' && !refuses ? 1 : 0));
      counters.gauge('disk.stalledUs', () => (syncStartedUs === undefined ? 0 : clock.now() - syncStartedUs));

      return {
        replica: () => replica,
        start: () => {
          endTicks = every(clock, tickUs, () => {
            const nowUs = clock.now();
            [...knownEvents(), { type: 'tick' as const, at: nowUs, chance: chance() }].forEach(mailbox.post);
            restore();
            const isBusy = !refuses && syncStartedUs !== undefined && nowUs - syncStartedUs < diskStallLimitUs;
            if (!isBusy || nowUs - pulsedUs < heartbeatIntervalUs) return;
            pulsedUs = nowUs;
            heartbeatsOf(syncedReplica).forEach(execute);
          });
        },
        resign: async () => {
          isClosing = true;
          mailbox.post({ type: 'resign', at: clock.now(), chance: chance() });
          await mailbox.idle();
        },
        close: async () => {
          endTicks();
          isClosing = true;
          await mailbox.idle();
          await ring.close();
        },
      };
    }),
  );
