/** The promises to callers, servers and operators that a router checks while it runs. */
export type PromiseName =
  /** Each exchange gets one last word, and nothing after it. */
  | 'one-final-answer'
  /** A refusal is said only of an exchange that did not run and never will. */
  | 'refused-never-ran'
  /** What may run once is sent again only after a server said that it did not run it. */
  | 'runs-once'
  /** An exchange goes to a server of the service that its rule names. */
  | 'service-of-its-rule'
  /** A server shown as leaving gets nothing new once its time has passed. */
  | 'leaving-gets-nothing'
  /** A configuration never gives way to an older one within one life. */
  | 'configuration-never-back'
  /** An exchange has its last word, or has begun to stream, soon after its budget ended. */
  | 'answered-in-time';
