import { steadyNow } from '../../../common/micros.js';
import { openTroubleNotes } from '../../history/trouble-notes.js';
import type { FaultAct } from './fault-act.js';

export const crowd: FaultAct = async ({ traffic, history, pause }) => {
  const { hit } = openTroubleNotes(history, steadyNow);
  hit('begins', 'callers', 'crowd');
  const end = traffic.crowd(0.7);
  traffic.speed(3);
  await pause(6_000_000);
  traffic.speed(1);
  end();
  hit('ends', 'callers', 'crowd');
};
