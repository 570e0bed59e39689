/** How a delivery can go wrong. */
export type DeliveryError =
  | 'no-link'
  | 'link-lost'
  | 'wrong-service'
  | 'turned-away'
  | 'server-error'
  | 'too-slow'
  | 'silent'
  | 'bad-stream'
  /** The caller's key was revoked before the exchange was sent. */
  | 'key-revoked';
