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
  /** An event of the stream exceeds the memory for one event. */
  | 'oversized-event'
  /** This node has no memory left for what it holds of the response. */
  | 'over-memory'
  /** The API key of the client was revoked before the exchange was sent. */
  | 'key-revoked';
