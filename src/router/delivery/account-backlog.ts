import type { ByteAccount } from '../../common/memory/byte-account.js';
import type { OpaqueResponseWriter } from '../opaque/opaque-response-writer.js';

/** Smaller backlogs are not accounted for: the number of connections bounds them. */
const minAccountedBytes = 1 << 12;

/**
 * Wraps the writer of one response, and accounts for what its client has not taken yet. If this is evicted, the client sees the
 * response as incomplete.
 */
export const accountBacklog = (writer: OpaqueResponseWriter, memory: ByteAccount): OpaqueResponseWriter => {
  const hold = memory.open(writer.abort);
  let waitsForDrain = false;

  const update = (): void => {
    const pendingBytes = writer.pendingBytes();
    const isAccounted = pendingBytes >= minAccountedBytes;
    hold.set(isAccounted ? pendingBytes : 0);
    if (!isAccounted || waitsForDrain) return;
    waitsForDrain = true;
    writer.onDrain(() => {
      waitsForDrain = false;
      update();
    });
  };

  return {
    ...writer,
    write: (bytes) => {
      const isWritable = writer.write(bytes);
      if (!isWritable) update();
      return isWritable;
    },
    end: () => {
      writer.end();
      update();
    },
    whole: (head, body) => {
      writer.whole(head, body);
      update();
    },
  };
};
