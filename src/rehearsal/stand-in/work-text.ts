/** The work that a caller's own text names, so that histories can be laid side by side. */
export type WorkText = {
  readonly work: string;
  readonly call: string;
  readonly pieces: number;
};

export const writeWorkText = ({ work, call, pieces }: WorkText): string => `work=${work} call=${call} pieces=${pieces}`;

export const readWorkText = (text: string): WorkText => {
  const match = /^work=(\S+) call=(\S+) pieces=(\d+)/.exec(text);
  return { work: match?.[1] ?? 'none', call: match?.[2] ?? 'none', pieces: Number(match?.[3] ?? 0) };
};

/** The text of one piece; it names its work and its place. */
export const pieceText = (work: string, piece: number): string => `${work}:${piece}`;
