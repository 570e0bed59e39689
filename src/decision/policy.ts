/**
 * The parts of the decision that can be switched off one by one, so that an experiment shows what each is worth. A router
 * that serves has all of them on.
 */
export type DecisionPolicy = {
  /** Requests of one cold prompt prefix wait at a router for the first of them. */
  readonly singleFlight: boolean;
  /** Joining and leaving servers get work by the schedule of their booking. */
  readonly bookings: boolean;
  /** Cold prefixes go to a newcomer's ranges one after another. */
  readonly pace: boolean;
  /** A request that would miss its target at its owner goes to a server that is sooner free. */
  readonly quickerServer: boolean;
  /** Long prompts are told to other routers. */
  readonly toldWork: boolean;
  /** Servers are told how urgent a request is. */
  readonly urgency: boolean;
  /** Servers that failed of late, here or elsewhere, are passed over. */
  readonly failures: boolean;
  /** Servers that tell a full load, here or elsewhere, are passed over. */
  readonly loads: boolean;
  /** What may run again is tried again elsewhere. */
  readonly retries: boolean;
};

export const usualPolicy: DecisionPolicy = {
  singleFlight: true,
  bookings: true,
  pace: true,
  quickerServer: true,
  toldWork: true,
  urgency: true,
  failures: true,
  loads: true,
  retries: true,
};

/** The parts by name, in the order in which they are played. */
export const policyParts: readonly (keyof DecisionPolicy)[] = [
  'singleFlight',
  'bookings',
  'pace',
  'quickerServer',
  'toldWork',
  'urgency',
  'failures',
  'loads',
  'retries',
];

/** The usual policy without one part. */
export const policyWithout = (part: keyof DecisionPolicy): DecisionPolicy => ({ ...usualPolicy, [part]: false });
