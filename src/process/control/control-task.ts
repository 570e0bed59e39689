import { EitherAsync, type Either } from 'purify-ts';
import { paused } from '../../common/clock/paused.js';
import { every } from '../../common/clock/every.js';
import type { Micros } from '../../common/micros.js';
import type { TypedError } from '../../common/typed-error.js';
import { imageRecordsOf, recoveredView } from '../../control/keeping/recover.js';
import type { KeptRecord } from '../../control/log/kept-record.js';
import type { ControlEffect } from '../../control/machine/control-effect.js';
import type { ControlEvent } from '../../control/machine/control-event.js';
import { startControlView, usualVoters, type ControlView } from '../../control/machine/control-view.js';
import { membersOf, textCharsOf } from '../../control/machine/log-reading.js';
import { pulseOf } from '../../control/machine/replicating.js';
import { stepControl } from '../../control/machine/step.js';
import { busyDiskUs, heartbeatSpanUs, mostTextChars } from '../../control/machine/timing.js';
import { encodeKept, sequenceKept } from '../../control/wire/kept-codec.js';
import { messageOfPlain, plainMessageOf } from '../../control/wire/message-codec.js';
import type { DiskRing } from '../../disk/disk-ring.js';
import type { Counters } from '../counters.js';
import type { Log } from '../log.js';
import { openMailbox } from '../mailbox.js';
import type { ControlSettings } from '../settings/control-settings.js';
import type { SpreadTask } from '../spread-task.js';
import type { Surroundings } from '../surroundings/surroundings.js';

/** The task that owns the control machine and its disk. */
export type ControlTask = {
  readonly view: () => ControlView;
  readonly start: () => void;
  readonly resign: () => Promise<void>;
  readonly close: () => Promise<void>;
};

const tickUs: Micros = 25_000;
const restoreSpanUs: Micros = 500_000;
const refusedSpanUs: Micros = 200_000;

const bornOn = async (
  ring: DiskRing,
  settings: ControlSettings,
  freshName: () => string,
): Promise<Either<TypedError, ControlView>> => {
  const recovered = [...(ring.recovered.image === undefined ? [] : [ring.recovered.image]), ...ring.recovered.records];
  const freshView = startControlView(
    `${settings.node}-${freshName()}`,
    settings.partners,
    settings.seeds,
    settings.founds ?? true,
    settings.voters ?? usualVoters,
  );
  if (recovered.length > 0) return sequenceKept(recovered).map((records) => recoveredView(freshView, records));
  const kept = await ring.append(new Uint8Array(0), () =>
    encodeKept([{ type: 'identity', identity: freshView.identity, founds: freshView.founds }]),
  );
  return kept.map(() => freshView);
};

/** Records are kept together, unless the documents in them are too large for one. */
const batchesOf = (records: readonly KeptRecord[]): readonly (readonly KeptRecord[])[] => {
  if (records.length === 0) return [];
  const textChars = records
    .flatMap((record) => (record.type === 'entries' ? record.entries : []))
    .reduce((sum, entry) => sum + textCharsOf(entry), 0);
  return textChars > mostTextChars ? records.map((record) => [record]) : [records];
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
      const bornView = await liftEither(await bornOn(ring, settings, freshName));
      let view = bornView;
      let syncedView = bornView;
      let pulsedUs = 0;
      let restoredUs = Number.NEGATIVE_INFINITY;
      let hasFailed = false;
      let refuses = false;
      let isClosing = false;
      let syncStartedUs: number | undefined;
      let endTicks = (): void => undefined;
      const knownAddresses = new Map<string, string>();
      const askAddresses = new Map<string, string>();

      const addressOf = (identity: string): string | undefined =>
        membersOf(view).find((member) => member.identity === identity)?.address ?? knownAddresses.get(identity);

      const carryOut = (effect: ControlEffect): void => {
        switch (effect.type) {
          case 'keep':
            return;
          case 'send': {
            const address = addressOf(effect.to);
            if (address !== undefined)
              spread.send(address, {
                type: 'control',
                identity: view.identity,
                to: effect.to,
                message: plainMessageOf(effect.message),
              });
            return;
          }
          case 'sendTo':
            spread.send(effect.address, {
              type: 'control',
              identity: view.identity,
              message: plainMessageOf(effect.message),
            });
            return;
          case 'receipt': {
            const address = askAddresses.get(effect.ask);
            askAddresses.delete(effect.ask);
            if (address === undefined) return;
            const receipt =
              effect.receipt.type === 'not-leader' && effect.receipt.leader !== undefined
                ? { ...effect.receipt, leader: addressOf(effect.receipt.leader) }
                : effect.receipt;
            spread.send(address, { type: 'receipt', ask: effect.ask, receipt });
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
      const keep = async (records: readonly KeptRecord[]): Promise<boolean> => {
        const startedUs = clock.now();
        syncStartedUs = startedUs;
        const append = (): Promise<Either<TypedError, void>> =>
          ring.append(encodeKept(records), () => encodeKept(imageRecordsOf(view)));
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

      const keepAll = async (records: readonly KeptRecord[]): Promise<boolean> => {
        for (const batch of batchesOf(records)) if (!(await keep(batch))) return false;
        return true;
      };

      /** What is not led asks wherever core machines are known to be, also when all its seeds are stale. */
      const knownEvents = (): readonly ControlEvent[] => {
        if (view.leader !== undefined) return [];
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
          const step = stepControl(view, event);
          view = step.view;
          effects.push(...step.effects);
        }
        const records = effects.flatMap((effect) => (effect.type === 'keep' ? [effect.record] : []));
        if (!(await keepAll(records))) return;
        syncedView = view;
        effects.forEach(carryOut);
      });

      spread.events.on('control', (from, frame) => {
        knownAddresses.set(frame.identity, from);
        if (frame.to !== undefined && frame.to !== view.identity) return;
        mailbox.post({
          type: 'message',
          at: clock.now(),
          chance: chance(),
          from: frame.identity,
          message: messageOfPlain(frame.message),
        });
      });
      /** Gives a core that founded itself anew what the nodes still hold, before it takes anything else. */
      const restore = (): void => {
        const { record } = spread.view();
        if (view.role !== 'leader' || record === undefined || record.revision <= (view.state.record?.revision ?? 0))
          return;
        if (clock.now() < restoredUs + restoreSpanUs) return;
        restoredUs = clock.now();
        mailbox.post({ type: 'propose', at: clock.now(), ask: freshName(), command: { type: 'restore', record } });
      };

      spread.events.on('ask', (from, { ask, question }) => {
        restore();
        askAddresses.set(ask, from);
        if (askAddresses.size > 10_000) askAddresses.delete(askAddresses.keys().next().value ?? ask);
        mailbox.post(
          question.type === 'read'
            ? { type: 'read', at: clock.now(), ask, proposal: question.proposal }
            : { type: 'propose', at: clock.now(), ask, command: question.command },
        );
      });
      counters.gauge('control.term', () => view.term);
      counters.gauge('control.commit', () => view.commit);
      counters.gauge('control.leads', () => (view.role === 'leader' && !refuses ? 1 : 0));
      counters.gauge('disk.stalledUs', () => (syncStartedUs === undefined ? 0 : clock.now() - syncStartedUs));

      return {
        view: () => view,
        start: () => {
          endTicks = every(clock, tickUs, () => {
            const nowUs = clock.now();
            [...knownEvents(), { type: 'tick' as const, at: nowUs, chance: chance() }].forEach(mailbox.post);
            restore();
            const isBusy = !refuses && syncStartedUs !== undefined && nowUs - syncStartedUs < busyDiskUs;
            if (!isBusy || nowUs - pulsedUs < heartbeatSpanUs) return;
            pulsedUs = nowUs;
            pulseOf(syncedView).forEach(carryOut);
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
