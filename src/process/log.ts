import { Logger } from 'tslog';

/** The structured log of a process. Only changes of state are logged, not single requests. */
export type Log = {
  readonly change: (what: string, facts: Readonly<Record<string, unknown>>) => void;
};

export const openLog = (node: string): Log => {
  const logger = new Logger({ name: node, type: 'json', hideLogPositionForProduction: true });
  return { change: (what, facts) => void logger.info({ what, ...facts }) };
};
