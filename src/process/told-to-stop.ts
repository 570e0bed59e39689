/** Waits until the process is told to stop. */
export const toldToStop = (): Promise<void> =>
  new Promise((resolve) => {
    process.once('SIGTERM', () => resolve());
    process.once('SIGINT', () => resolve());
  });
