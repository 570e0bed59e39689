/** Collects chunks in one contiguous buffer. */
export type ByteBuffer = {
  readonly put: (chunk: Buffer) => void;
  readonly size: () => number;
  readonly bytes: () => Uint8Array;
  /** Releases the memory. */
  readonly clear: () => void;
};

const initialBytes = 1 << 16;

/**
 * Opens a buffer for `expectedBytes`, or one that grows up to `maxBytes` if the length is unknown. A single chunk that is the whole
 * content is not copied.
 */
export const openByteBuffer = (expectedBytes: number | undefined, maxBytes: number): ByteBuffer => {
  let held: Buffer = Buffer.alloc(0);
  let size = 0;

  /** Allocated without initialisation, so that the operating system backs only the pages that are written. */
  const grow = (neededBytes: number): void => {
    const capacity = expectedBytes ?? Math.min(maxBytes, Math.max(initialBytes, held.length * 2, neededBytes));
    const larger = Buffer.allocUnsafeSlow(Math.max(capacity, neededBytes));
    held.copy(larger, 0, 0, size);
    held = larger;
  };

  return {
    put: (chunk) => {
      if (size === 0 && (expectedBytes === undefined || expectedBytes === chunk.length)) {
        held = chunk;
        size = chunk.length;
        return;
      }
      if (size + chunk.length > held.length) grow(size + chunk.length);
      chunk.copy(held, size);
      size += chunk.length;
    },
    size: () => size,
    bytes: () => held.subarray(0, size),
    clear: () => {
      held = Buffer.alloc(0);
      size = 0;
    },
  };
};
