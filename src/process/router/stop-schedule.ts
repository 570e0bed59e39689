import type { Micros } from '../../common/micros.js';

/** The moments of a graceful stop, counted from the stop signal. */
export type StopSchedule = {
  /** Until then the node, which already reports unready, accepts requests, so that load balancers can notice. */
  readonly acceptUntilUs: Micros;
  /** When so many unanswered requests get their final answers, if no server has begun to answer them. */
  readonly answerAtUs: (unanswered: number) => Micros;
  /** Responses that are still under way are aborted then, and the process ends. */
  readonly endAtUs: Micros;
};

const maxAcceptUs: Micros = 1_000_000;
const acceptShare = 1 / 8;
/** The time that final answers take on a machine with a sixth of a core: all of them together, and each. */
const answersUs: Micros = 300_000;
const oneAnswerUs: Micros = 2_500;
/** The time that it takes to end the process. */
const endReserveUs: Micros = 200_000;
/** At most these shares of the whole time are reserved. */
const maxAnswerShare = 1 / 4;
const maxEndShare = 1 / 10;

/** The schedule of a stop after which the process is killed once `terminationGraceUs` have passed. */
export const stopScheduleOf = (terminationGraceUs: Micros): StopSchedule => {
  const endAtUs = terminationGraceUs - Math.min(endReserveUs, Math.floor(terminationGraceUs * maxEndShare));
  const maxAnswerUs = Math.floor(terminationGraceUs * maxAnswerShare);
  return {
    acceptUntilUs: Math.min(maxAcceptUs, Math.floor(terminationGraceUs * acceptShare)),
    answerAtUs: (unanswered) => endAtUs - Math.min(maxAnswerUs, answersUs + unanswered * oneAnswerUs),
    endAtUs,
  };
};
