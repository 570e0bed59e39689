import { readFileSync } from 'node:fs';
import { violationMessage } from '../../router/guarantees/guarantee-monitor.js';
import type { Finding } from './finding.js';

/** What a process logs when it finds one of its own promises, or a rule of its log, broken, or meets a bug. */
const alarms = [violationMessage, 'invariant broken', 'unexpected exception'] as const;

const mostDetail = 300;

/** The alarms in the log of a node, over all its lives: they survive the process that found them. */
export const alarmsIn = (node: string, text: string): readonly Finding[] =>
  text.split('\n').flatMap((line) => {
    const alarm = alarms.find((what) => line.includes(`"what":"${what}"`));
    return alarm === undefined ? [] : [{ rule: alarm, detail: `${node}: ${line.slice(0, mostDetail)}` }];
  });

const textOf = (path: string): string => {
  try {
    return readFileSync(path, 'utf8');
  } catch {
    return '';
  }
};

/** What a node has logged of promises and invariants that it found broken. */
export const brokenPromisesOf = ({
  node,
  logPath,
}: {
  readonly node: string;
  readonly logPath: string;
}): readonly Finding[] => alarmsIn(node, textOf(logPath));
