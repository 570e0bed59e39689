import type { ServerResponse } from 'node:http';

/**
 * Ends an answer with its last bytes. Where the request has not come whole, the rest of it is read and dropped before: a
 * connection that is closed with unread bytes is reset, and its caller may never read the answer.
 */
export const endAfterRequest = (response: ServerResponse, lastBytes: string): void => {
  const { req: message } = response;
  if (message.complete) {
    response.end(lastBytes);
    return;
  }
  response.write(lastBytes);
  message.once('close', () => response.end());
  message.once('end', () => response.end());
  message.resume();
};
