import { randomItem } from '../../../common/random.js';
import { noDiskFault } from '../../../disk/disk-fault.js';
import { freePorts } from '../../launcher/free-ports.js';
import type { FaultStep } from './fault-step.js';

export const loseDisk: FaultStep = async (parts) => {
  const control = randomItem(parts.chance, parts.controls);
  if (control === undefined) return;
  await control.kill();
  control.loseDisk();
  await parts.pause(1_000_000);
  control.start();
  await parts.pause(9_000_000);
};

/** A core machine comes back empty at new addresses; whoever starts from then on is given the new seeds. */
export const moveCore: FaultStep = async (parts) => {
  const { controls, routers, relays } = parts;
  const control = randomItem(parts.chance, controls);
  const router = randomItem(parts.chance, routers);
  if (control === undefined || router === undefined) return;
  await control.kill();
  control.loseDisk();
  const [http = 0, partners = 0, partnersListen = 0] = await freePorts(3);
  const moved = {
    http: `127.0.0.1:${http}`,
    partners: `127.0.0.1:${partners}`,
    partnersListen: `127.0.0.1:${partnersListen}`,
  };
  control.move(moved);
  await relays.open(moved.partners, moved.partnersListen);
  for (const node of [...controls, ...routers]) node.reseed(controls.map((known) => known.partners));
  control.start();
  await parts.pause(9_000_000);
  await router.kill();
  router.start();
  await parts.ready(router);
};

/** Every sync of the leader takes so much longer, for a while. */
const delayLeaderDisk =
  (delayUs: number, spanUs: number): FaultStep =>
  async (parts) => {
    const leader = await parts.leader();
    if (leader === undefined) return;
    leader.troubleDisk({ delayUs, fails: false });
    await parts.pause(spanUs);
    leader.troubleDisk(noDiskFault);
  };

export const slowLeaderDisk = delayLeaderDisk(150_000, 5_000_000);

export const stallLeaderDisk = delayLeaderDisk(4_000_000, 4_000_000);

/** The leader's disk is full for a while: it gives way, stays up, and takes part again. */
export const fillDisk: FaultStep = async (parts) => {
  const control = await parts.leader();
  if (control === undefined) return;
  control.troubleDisk({ delayUs: 0, fails: true });
  await parts.pause(8_000_000);
  if (!control.isRunning()) throw new Error('a core machine ended itself over a full disk');
  if ((await parts.leader()) === control) throw new Error('a core machine with a full disk went on leading');
  control.troubleDisk(noDiskFault);
  await parts.pause(1_000_000);
};
