import type { ServerResponse } from 'node:http';

/**
 * Writes the last bytes of a response and ends it. If the request is not completely received, its rest is read and discarded first:
 * a connection that is closed with unread bytes is reset, and the client may lose the response.
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
