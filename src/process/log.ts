import { Logger } from 'tslog';

/** The log of a process: a line only for a change of state. */
export type Log = {
  readonly change: (what: string, facts: Readonly<Record<string, unknown>>) => void;
};

export const openLog = (node: string): Log => {
  const logger = new Logger({ name: node, type: 'json', hideLogPositionForProduction: true });
  return { change: (what, facts) => void logger.info({ what, ...facts }) };
};
