import type { Micros } from '../../common/micros.js';
import type { TypedError } from '../../common/typed-error.js';
import { lastIndexOf } from '../../control/machine/log-queries.js';
import { createReplica, type Replica } from '../../control/machine/replica.js';
import { openControlNode, type ControlNode } from '../../process/control/control-node.js';
import type { Log } from '../../process/log.js';
import type { PeerLinks } from '../../spread/link/peer-links.js';
import { openMemoryFiles } from '../disk/memory-files.js';
import { drawnWriteFates } from '../disk/write-fate.js';
import type { SimLife } from '../process/sim-life.js';
import { openSimNode, type SimNode } from '../process/sim-node.js';
import { simSurroundingsOf, type SimCommons } from '../process/sim-surroundings.js';
import { openSaid } from './said.js';

/** A core machine in the virtual world: the tasks that ship, on a virtual clock, virtual links and a disk in memory. */
export type SimControl = {
  readonly name: string;
  readonly locality: string;
  readonly address: () => string;
  readonly node: SimNode;
  /** Its tasks; none while it is down. */
  readonly tasks: () => ControlNode | undefined;
  /** What its machine knew last. */
  readonly replica: () => Replica;
  readonly isUp: () => boolean;
  readonly start: () => void;
  /** Power is lost: of what was not synced some may be there, some torn, some gone. */
  readonly kill: () => void;
  /** The process is killed: its files keep every write, also those that were not synced. */
  readonly killProcess: () => void;
  /** Does something in place of the end of the next sync: of any one, or of one that makes a ring file. */
  readonly inNextSync: (sync: 'any' | 'rotation', act: (endSync: () => void) => void) => void;
  readonly endActInSync: () => void;
  /** Ends in order, then calls back. */
  readonly terminate: (ended: () => void) => void;
  readonly loseDisk: (newAddress?: string) => void;
  /** The seeds it is told from its next start on. */
  readonly changeSeeds: (newSeeds: readonly string[]) => void;
  readonly slowDisk: (syncUs: Micros) => void;
  /** From now on writes fail, or do not. A machine that can not write says nothing until it can. */
  readonly fillDisk: (isFull: boolean) => void;
  /** Does something as this machine; not at all when it is down. */
  readonly hear: (act: (tasks: ControlNode) => void) => boolean;
};

export type SimControlPlan = {
  readonly name: string;
  readonly locality: string;
  readonly bornAddress: string;
  readonly seeds: () => readonly string[];
  readonly commons: SimCommons;
  readonly ringFileBytes?: number;
  /** How many voters it is told to bring the core to. */
  readonly voters?: number;
  /** Whether it may found a core again after it has lost its disk. */
  readonly refounds?: boolean;
  /** Whether it takes the place of a machine that is gone, so that it may not found a core even with an empty disk. */
  readonly isReplacement?: boolean;
  /** The seeds it is told after it has lost its disk, where they are others. */
  readonly laterSeeds?: readonly string[];
  readonly logOf: (control: SimControl) => Log;
  /** Hears of a machine whose disk gives back something else than it said. */
  readonly hearUnkept: (what: string) => void;
  /** Hears of a replica whose step broke an invariant of the log. */
  readonly hearBrokenInvariant: (what: string) => void;
};

const ringFiles = 2;
const usualFileBytes = 1 << 20;
export const usualDiskUs: Micros = 2_000;

export const openSimControl = ({
  name,
  locality,
  bornAddress,
  seeds,
  commons,
  ringFileBytes = usualFileBytes,
  voters,
  refounds = true,
  laterSeeds,
  isReplacement = false,
  logOf,
  hearUnkept,
  hearBrokenInvariant,
}: SimControlPlan): SimControl => {
  const { world } = commons;
  const node = openSimNode(world, (type, what) => commons.note(type, name, what));
  const said = openSaid();
  const usedIdentities = new Set<string>();
  let address = bornAddress;
  let syncUs = usualDiskUs;
  let isFull = false;
  let isEmpty = true;
  let hasLostDisk = false;
  let changedSeeds: readonly string[] | undefined;
  let tasks: ControlNode | undefined;
  let lastView = createReplica(name, address, seeds());
  let presentLife: SimLife | undefined;
  let actInSync: { readonly sync: 'any' | 'rotation'; readonly act: (endSync: () => void) => void } | undefined;
  const takeActInSync = (makesFile: boolean): ((endSync: () => void) => void) | undefined => {
    if (actInSync === undefined || (actInSync.sync === 'rotation' && !makesFile)) return undefined;
    const { act } = actInSync;
    actInSync = undefined;
    return act;
  };
  const emptyFiles = () =>
    openMemoryFiles(ringFiles, ringFileBytes, undefined, () => ({
      fails: isFull,
      untilSynced: (makesFile) => {
        const life = presentLife;
        return new Promise((resolve) =>
          world.after(syncUs * (0.5 + world.chance()), () => {
            const act = life?.isOver() === true ? undefined : takeActInSync(makesFile);
            const endSync = (): void => node.hear(resolve);
            if (act === undefined) endSync();
            else act(endSync);
          }),
        );
      },
    }));
  let files = emptyFiles();

  const toldSeeds = (): readonly string[] => changedSeeds ?? (hasLostDisk ? laterSeeds : undefined) ?? seeds();

  const end = (): void => {
    lastView = control.replica();
    tasks = undefined;
    node.kill();
  };

  const born = (made: ControlNode): void => {
    const view = made.control.replica();
    if (isEmpty && usedIdentities.has(view.identity)) hearUnkept(`${view.identity} came back without its disk`);
    if (isEmpty) said.forget();
    isEmpty = false;
    usedIdentities.add(view.identity);
    const lost = said.lostBy(view);
    if (lost !== undefined) hearUnkept(`${name}: ${lost} (its log ends at ${lastIndexOf(view)})`);
    tasks = made;
    void made.start();
  };

  const control: SimControl = {
    name,
    locality,
    address: () => address,
    node,
    tasks: () => tasks,
    replica: () => tasks?.control.replica() ?? lastView,
    isUp: node.isUp,
    start: () => {
      if (node.isUp()) return;
      const life = node.begin();
      presentLife = life;
      const surroundings = simSurroundingsOf(commons, name, address, life, files.files);
      const openPartnerLinks = (linkAddress: string): PeerLinks => {
        const links = surroundings.openPartnerLinks(linkAddress);
        return {
          ...links,
          send: (target, frame) => {
            if (frame.type === 'control') said.note(frame.to, frame.message);
            links.send(target, frame);
          },
        };
      };
      const fail = (error: TypedError): void => {
        if (error.type === 'broken-invariant') hearBrokenInvariant(`${name}: ${error.message}`);
        if (!life.isOver()) control.kill();
      };
      void openControlNode({
        settings: {
          node: name,
          locality,
          http: `${address}/http`,
          partners: address,
          seeds: toldSeeds(),
          data: name,
          ringFiles,
          ringFileBytes,
          founds: refounds || !(hasLostDisk || isReplacement),
          voters,
        },
        log: logOf(control),
        surroundings: { ...surroundings, openPartnerLinks },
        fail,
      })
        .run()
        .then((opened) =>
          opened
            .ifRight((made) => {
              if (!life.isOver()) born(made);
            })
            .ifLeft((error) => {
              if (life.isOver()) return;
              if (error.type === 'damaged-disk') hearUnkept(`${name} can not read its disk: ${error.message}`);
              end();
            }),
        );
    },
    kill: () => {
      if (!node.isUp()) return;
      end();
      files = files.afterPowerLoss(drawnWriteFates(world.chance));
    },
    killProcess: () => {
      if (node.isUp()) end();
    },
    inNextSync: (sync, act) => {
      actInSync = { sync, act };
    },
    endActInSync: () => {
      actInSync = undefined;
    },
    terminate: (ended) => {
      const leaving = tasks;
      if (leaving === undefined) return;
      node.hear(() => {
        void leaving.stop().then(() => {
          if (tasks === leaving) end();
          ended();
        });
      });
    },
    loseDisk: (newAddress) => {
      control.kill();
      files = emptyFiles();
      isEmpty = true;
      hasLostDisk = true;
      address = newAddress ?? address;
    },
    changeSeeds: (newSeeds) => {
      changedSeeds = newSeeds;
    },
    slowDisk: (newSyncUs) => {
      syncUs = newSyncUs;
      commons.note(newSyncUs > usualDiskUs ? 'begins' : 'ends', name, 'disk');
    },
    fillDisk: (isFullNow) => {
      isFull = isFullNow;
      commons.note(isFullNow ? 'begins' : 'ends', name, 'disk');
    },
    hear: (act) => {
      const present = tasks;
      if (present === undefined) return false;
      node.hear(() => act(present));
      return true;
    },
  };
  return control;
};
