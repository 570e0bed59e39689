/** What hears a server's receipt, in order. */
export type SimServerListener = {
  readonly head: (status: number) => void;
  readonly chunk: (text: string) => void;
  readonly end: () => void;
};
