/** How a stand-in server misbehaves with its next answer. */
export type Misdeed =
  | 'reset'
  | 'reset-without-length'
  | 'surplus'
  | 'other-id'
  | 'no-seal'
  | 'encoded'
  | 'silence'
  | 'slow-refusal'
  | 'close-before-answer';

/** An answer in bytes of the test's own; `fields` are the header lines of a sound one. */
export type SpoiledAnswer = { readonly type: 'spoiled'; readonly bytesOf: (fields: string) => string };

/** An answer whose status line holds three digits that are no status. */
export const noStatus: SpoiledAnswer = {
  type: 'spoiled',
  bytesOf: (fields) => `HTTP/1.1 000 OK\r\n${fields}Content-Length: 5\r\n\r\nplate`,
};
