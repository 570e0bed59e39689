/** Chunks that are put at one end and read at the other. */
export type ChunkQueue = {
  readonly put: (chunk: string) => void;
  readonly end: () => void;
  readonly fail: (error: Error) => void;
  readonly chunks: AsyncIterator<string>;
};

type Waiter = {
  readonly resolve: (next: IteratorResult<string, undefined>) => void;
  readonly reject: (error: Error) => void;
};

export const openChunkQueue = (): ChunkQueue => {
  const waitingChunks: string[] = [];
  let waiter: Waiter | undefined;
  let isEnded = false;
  let linkError: Error | undefined;
  const serve = (): void => {
    if (waiter === undefined) return;
    const { resolve, reject } = waiter;
    const chunk = waitingChunks.shift();
    if (chunk === undefined && !isEnded && linkError === undefined) return;
    waiter = undefined;
    if (chunk !== undefined) resolve({ done: false, value: chunk });
    else if (linkError !== undefined) reject(linkError);
    else resolve({ done: true, value: undefined });
  };
  return {
    put: (chunk) => {
      waitingChunks.push(chunk);
      serve();
    },
    end: () => {
      isEnded = true;
      serve();
    },
    fail: (error) => {
      if (isEnded) return;
      linkError = error;
      serve();
    },
    chunks: {
      next: () =>
        new Promise((resolve, reject) => {
          waiter = { resolve, reject };
          serve();
        }),
    },
  };
};
