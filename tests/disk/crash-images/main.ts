import { Command } from 'commander';
import { playCrashImages } from './crash-images.js';

/** Runs the random crash test of the disk ring from the command line. */
const command = new Command('crash-images')
  .option('--seed <number>', 'first seed', '1')
  .option('--seeds <number>', 'number of seeds', '1')
  .option('--sessions <number>', 'sessions per seed', '2000');

const { seed, seeds, sessions } = command
  .parse()
  .opts<{ readonly seed: string; readonly seeds: string; readonly sessions: string }>();
for (let next = Number(seed); next < Number(seed) + Number(seeds); next += 1) {
  const { images, faults } = await playCrashImages(next, Number(sessions));
  process.stdout.write(`seed ${next}: ${images} images, ${faults.length === 0 ? 'no fault' : faults.join('; ')}\n`);
  if (faults.length > 0) process.exitCode = 1;
}
