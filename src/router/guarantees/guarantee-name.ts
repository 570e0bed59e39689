/** Guarantees to clients, servers and operators that a router checks at run time; the names appear in counters and log lines. */
export type GuaranteeName =
  /** Each exchange gets exactly one final answer, and nothing is written after it. */
  | 'one-final-answer'
  /** An exchange is refused only if it did not run and never will. */
  | 'refused-never-ran'
  /** An exchange that is not repeatable is sent again only after the server confirmed that it did not run it. */
  | 'runs-once'
  /** An exchange is sent only to servers of the service that its rule names. */
  | 'service-of-its-rule'
  /** A server listed as leaving gets no new attempts after its grace period. */
  | 'leaving-gets-nothing'
  /** Within one process, a configuration is never replaced by one with a lower revision. */
  | 'configuration-never-back'
  /** Shortly after its budget ends, an exchange has its final answer or has begun to stream. */
  | 'answered-in-time';
