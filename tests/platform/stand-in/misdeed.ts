/** How a stand-in server misbehaves with its next answer. */
export type Misdeed =
  | 'reset'
  | 'reset-without-length'
  | 'no-status'
  | 'surplus'
  | 'other-id'
  | 'no-seal'
  | 'encoded'
  | 'silence'
  | 'close-before-answer';
