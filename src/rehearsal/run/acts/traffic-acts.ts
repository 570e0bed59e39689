import { steadyNow } from '../../../common/micros.js';
import type { FaultAct } from './fault-act.js';

export const crowd: FaultAct = async ({ traffic, history, pause }) => {
  history.troubles.push({ type: 'begins', atUs: steadyNow(), who: 'callers', what: 'crowd' });
  const end = traffic.crowd(0.7);
  traffic.speed(3);
  await pause(6_000_000);
  traffic.speed(1);
  end();
  history.troubles.push({ type: 'ends', atUs: steadyNow(), who: 'callers', what: 'crowd' });
};
