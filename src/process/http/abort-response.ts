import type { ServerResponse } from 'node:http';

/** Whether the end of the response is marked by the close of the connection alone, as in HTTP/1.0. */
const endsWithConnection = ({ headersSent, req }: ServerResponse): boolean => headersSent && req.httpVersion === '1.0';

/** Aborts a response so that the client recognises it as truncated. A response without length and chunks needs a TCP reset for that. */
export const abortResponse = (response: ServerResponse): void => {
  if (endsWithConnection(response)) response.socket?.resetAndDestroy();
  response.destroy();
};
