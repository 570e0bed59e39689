/** Collects chunks of bytes in segments, so that many small chunks cost little more than their bytes. */
export type SegmentedBytes = {
  readonly put: (chunk: Buffer) => void;
  readonly size: () => number;
  /** Removes and returns all bytes, in order. */
  readonly take: () => readonly Buffer[];
};

const minSegmentBytes = 1 << 10;
const maxSegmentBytes = 1 << 16;
/** A chunk of this size is kept as it is; a smaller one is copied, since it may be a view of a much larger buffer. */
const minOwnSegmentBytes = maxSegmentBytes / 2;

/** Opens an empty collection. */
export const openSegmentedBytes = (): SegmentedBytes => {
  let full: Buffer[] = [];
  let open: Buffer = Buffer.alloc(0);
  let openBytes = 0;
  let size = 0;

  const closeSegment = (): void => {
    if (openBytes > 0) full.push(open.subarray(0, openBytes));
    open = open.subarray(openBytes);
    openBytes = 0;
  };

  const copy = (chunk: Buffer): void => {
    for (let from = 0; from < chunk.length;) {
      if (openBytes === open.length) {
        closeSegment();
        const segmentBytes = Math.min(maxSegmentBytes, Math.max(minSegmentBytes, size, chunk.length - from));
        open = Buffer.allocUnsafeSlow(segmentBytes);
      }
      const copied = chunk.copy(open, openBytes, from);
      openBytes += copied;
      from += copied;
    }
  };

  return {
    put: (chunk) => {
      if (chunk.length >= minOwnSegmentBytes) {
        closeSegment();
        full.push(chunk);
      } else copy(chunk);
      size += chunk.length;
    },
    size: () => size,
    take: () => {
      closeSegment();
      const taken = full;
      full = [];
      open = Buffer.alloc(0);
      size = 0;
      return taken;
    },
  };
};
