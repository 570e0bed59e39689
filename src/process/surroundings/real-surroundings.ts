import { randomBytes } from 'node:crypto';
import { monotonicClock } from '../../common/clock/monotonic-clock.js';
import { openRingFolder } from '../../disk/open-folder.js';
import { openServerLink } from '../../servers/link/open-link.js';
import { openTcpLinks } from '../../spread/link/tcp-links.js';
import { receiveDiskTrouble } from '../rehearsed-disk.js';
import type { Surroundings } from './surroundings.js';

/** The dependencies of a real process: monotonic clock, TCP links and files. */
export const realSurroundings: Surroundings = {
  clock: monotonicClock,
  chance: () => Math.random(),
  freshName: () => randomBytes(6).toString('hex'),
  openPartnerLinks: openTcpLinks,
  dial: openServerLink,
  openRing: (folder, sizes) => openRingFolder(folder, sizes, receiveDiskTrouble()),
};
