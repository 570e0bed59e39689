/** Bytes that come in pieces and are held once. */
export type ByteBuffer = {
  readonly put: (piece: Buffer) => void;
  readonly size: () => number;
  readonly bytes: () => Uint8Array;
  /** Lets go of all that is held. */
  readonly clear: () => void;
};

const firstBytes = 1 << 16;

/**
 * Opens a buffer for as many bytes as are told, or for one that grows up to a bound where nothing is told. A single piece
 * that is the whole is kept as it came.
 */
export const openByteBuffer = (toldBytes: number | undefined, mostBytes: number): ByteBuffer => {
  let held: Buffer = Buffer.alloc(0);
  let size = 0;

  /** Makes room for more; what was never written of a new buffer takes no memory. */
  const grow = (neededBytes: number): void => {
    const capacity = toldBytes ?? Math.min(mostBytes, Math.max(firstBytes, held.length * 2, neededBytes));
    const larger = Buffer.allocUnsafeSlow(Math.max(capacity, neededBytes));
    held.copy(larger, 0, 0, size);
    held = larger;
  };

  return {
    put: (piece) => {
      if (size === 0 && (toldBytes === undefined || toldBytes === piece.length)) {
        held = piece;
        size = piece.length;
        return;
      }
      if (size + piece.length > held.length) grow(size + piece.length);
      piece.copy(held, size);
      size += piece.length;
    },
    size: () => size,
    bytes: () => held.subarray(0, size),
    clear: () => {
      held = Buffer.alloc(0);
      size = 0;
    },
  };
};
