/** How an attempt to deliver an exchange to a server can fail. */
export type DeliveryError =
  | 'no-link'
  | 'link-lost'
  | 'wrong-service'
  | 'turned-away'
  | 'server-error'
  | 'too-slow'
  | 'silent'
  | 'bad-stream'
  /** The API key of the client was revoked before the exchange was sent. */
  | 'key-revoked';
