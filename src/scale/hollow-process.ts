import { fork } from 'node:child_process';
import { fileURLToPath } from 'node:url';
import { number, object, mixed } from 'yup';
import type { Partner } from '../spread/partner/partner.js';
import type { HollowReport } from './hollow-word.js';

/** A process of some tens of hollow nodes. */
export type HollowProcess = {
  readonly report: () => Promise<HollowReport>;
  readonly end: () => void;
};

const mainPath = fileURLToPath(new URL('./hollow-main.js', import.meta.url));

const isCounts = (value: unknown): value is Readonly<Record<string, number>> =>
  typeof value === 'object' && value !== null;
const whole = () => number().required();

const reportSchema = object({
  nodes: whole(),
  cpuUs: whole(),
  memoryBytes: whole(),
  frames: mixed(isCounts).required(),
  bytes: mixed(isCounts).required(),
  leastRevision: whole(),
  leastVersion: whole(),
  leastPartners: whole(),
  mostPartners: whole(),
  leastRouters: whole(),
  mostRouters: whole(),
}).required();

export const startHollow = (nodes: readonly Partner[], seeds: readonly string[]): HollowProcess => {
  const child = fork(mainPath, { execArgv: ['--max-old-space-size=512'] });
  child.send({ type: 'begin', nodes, seeds });
  return {
    report: () =>
      new Promise((resolve, reject) => {
        const isLost = (): void => reject(new Error('a process of hollow nodes ended'));
        child.once('exit', isLost);
        child.once('message', (message: unknown) => {
          child.off('exit', isLost);
          resolve(reportSchema.validateSync(message));
        });
        child.send({ type: 'report' });
      }),
    end: () => void child.kill('SIGKILL'),
  };
};
