import { monotonicNow } from '../../../common/micros.js';
import { openTroubleNotes } from '../../history/trouble-notes.js';
import type { FaultStep } from './fault-step.js';

export const crowd: FaultStep = async ({ traffic, history, pause }) => {
  const { hit } = openTroubleNotes(history, monotonicNow);
  hit('begins', 'callers', 'crowd');
  const end = traffic.crowd(0.7);
  traffic.speed(3);
  await pause(6_000_000);
  traffic.speed(1);
  end();
  hit('ends', 'callers', 'crowd');
};
