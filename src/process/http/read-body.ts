import type { IncomingMessage } from 'node:http';
import { EitherAsync } from 'purify-ts';
import { parseJson } from '../../common/json.js';
import { messageOf, typedError, type TypedError } from '../../common/typed-error.js';

/** Reads a body of at most so many bytes; a larger one is an error at once. */
export const readBody = (message: IncomingMessage, mostBytes: number): EitherAsync<TypedError, string> =>
  EitherAsync(async ({ throwE }) => {
    if (Number(message.headers['content-length'] ?? 0) > mostBytes)
      return throwE(typedError('oversized-body', `the body may have at most ${mostBytes} bytes`));
    const outcome = await new Promise<string | TypedError>((resolve) => {
      const chunks: Buffer[] = [];
      let byteCount = 0;
      message.on('data', (chunk: Buffer) => {
        byteCount += chunk.length;
        if (byteCount <= mostBytes) chunks.push(chunk);
        else {
          resolve(typedError('oversized-body', `the body may have at most ${mostBytes} bytes`));
          message.pause();
        }
      });
      message.on('end', () => resolve(Buffer.concat(chunks).toString('utf8')));
      message.on('error', (thrown) => resolve(typedError('link-error', messageOf(thrown))));
      message.on('close', () => resolve(typedError('link-error', 'the caller went away')));
    });
    return typeof outcome === 'string' ? outcome : throwE(outcome);
  });

export const readJsonBody = (
  message: IncomingMessage,
  mostBytes: number,
  type: TypedError['type'],
): EitherAsync<TypedError, unknown> =>
  readBody(message, mostBytes).chain((text) => EitherAsync.liftEither(parseJson(text, type)));
