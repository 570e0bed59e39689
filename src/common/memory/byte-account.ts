/** Bounds the bytes that many holders keep together. Nothing waits: when the bound is exceeded, the largest holder is evicted. */
export type ByteAccount = {
  /** Opens a holder of no bytes. `onEvict` must let go of everything that the holder keeps; it is called once at most. */
  readonly open: (onEvict: () => void) => ByteHold;
  readonly heldBytes: () => number;
};

/** The bytes that one holder keeps. */
export type ByteHold = {
  /** States how many bytes the holder keeps now. It, or a larger holder, may be evicted before this returns. */
  readonly set: (bytes: number) => void;
  /** The holder keeps nothing any more, and is not evicted from now on. */
  readonly close: () => void;
};

type Holder = { bytes: number; isOpen: boolean; readonly onEvict: () => void };

/** Opens an account of `capacityBytes`; `onEviction` gets the size of each holder that is evicted. */
export const openByteAccount = (capacityBytes: number, onEviction: (bytes: number) => void): ByteAccount => {
  /** The holders that keep any bytes. */
  const holders = new Set<Holder>();
  let heldBytes = 0;

  const setBytes = (holder: Holder, bytes: number): void => {
    heldBytes += bytes - holder.bytes;
    holder.bytes = bytes;
    if (bytes > 0) holders.add(holder);
    else holders.delete(holder);
  };

  const close = (holder: Holder): void => {
    holder.isOpen = false;
    setBytes(holder, 0);
  };

  const findLargest = (): Holder | undefined => {
    let largest: Holder | undefined;
    for (const holder of holders) if (largest === undefined || holder.bytes > largest.bytes) largest = holder;
    return largest;
  };

  const evictUntilWithinCapacity = (): void => {
    while (heldBytes > capacityBytes) {
      const largest = findLargest();
      if (largest === undefined) return;
      onEviction(largest.bytes);
      close(largest);
      largest.onEvict();
    }
  };

  return {
    open: (onEvict) => {
      const holder: Holder = { bytes: 0, isOpen: true, onEvict };
      return {
        set: (bytes) => {
          if (!holder.isOpen) return;
          setBytes(holder, bytes);
          evictUntilWithinCapacity();
        },
        close: () => close(holder),
      };
    },
    heldBytes: () => heldBytes,
  };
};
