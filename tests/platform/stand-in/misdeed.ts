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

const endlessBytes = 12 << 20;

/** A stream that looks sound up to its first event, and whose next event has not ended after many bytes. */
export const endlessEvent: SpoiledAnswer = {
  type: 'spoiled',
  bytesOf: (fields) =>
    `HTTP/1.1 200 OK\r\n${fields}Content-Type: text/event-stream\r\n\r\n:\n\ndata: ${'x'.repeat(endlessBytes)}`,
};

/** A stream of comments that has no event after many bytes. */
export const endlessComments: SpoiledAnswer = {
  type: 'spoiled',
  bytesOf: (fields) =>
    `HTTP/1.1 200 OK\r\n${fields}Content-Type: text/event-stream\r\n\r\n${`:${'c'.repeat(998)}\n\n`.repeat(endlessBytes / 1_000)}`,
};

/** An error whose body does not end. */
export const endlessError: SpoiledAnswer = {
  type: 'spoiled',
  bytesOf: (fields) => `HTTP/1.1 500 Broken\r\n${fields}\r\n${'x'.repeat(endlessBytes)}`,
};

/** An answer whose status line holds three digits that are no status. */
export const noStatus: SpoiledAnswer = {
  type: 'spoiled',
  bytesOf: (fields) => `HTTP/1.1 000 OK\r\n${fields}Content-Length: 5\r\n\r\nplate`,
};
