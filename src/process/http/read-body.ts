import type { IncomingMessage } from 'node:http';
import { EitherAsync } from 'purify-ts';
import { parseJson } from '../../common/json.js';
import { messageOf, typedError, type TypedError } from '../../common/typed-error.js';

/** Reads a body of at most `maxBytes`. Fails with `oversized-body` as soon as it is known to be larger, and with `link-error`. */
export const readBody = (message: IncomingMessage, maxBytes: number): EitherAsync<TypedError, string> =>
  EitherAsync(async ({ throwE }) => {
    if (Number(message.headers['content-length'] ?? 0) > maxBytes)
      return throwE(typedError('oversized-body', `the body is larger than the limit of ${maxBytes} bytes`));
    const outcome = await new Promise<string | TypedError>((resolve) => {
      const chunks: Buffer[] = [];
      let byteCount = 0;
      message.on('data', (chunk: Buffer) => {
        byteCount += chunk.length;
        if (byteCount <= maxBytes) chunks.push(chunk);
        else {
          resolve(typedError('oversized-body', `the body is larger than the limit of ${maxBytes} bytes`));
          message.pause();
        }
      });
      message.on('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
      message.on('error', (thrown) => resolve(typedError('link-error', messageOf(thrown))));
      message.on('close', () => resolve(typedError('link-error', 'the client closed the connection')));
    });
    return typeof outcome === 'string' ? outcome : throwE(outcome);
  });

/** As `readBody`; invalid JSON is an error of the given type. */
export const readJsonBody = (
  message: IncomingMessage,
  maxBytes: number,
  type: TypedError['type'],
): EitherAsync<TypedError, unknown> =>
  readBody(message, maxBytes).chain((text) => EitherAsync.liftEither(parseJson(text, type)));
