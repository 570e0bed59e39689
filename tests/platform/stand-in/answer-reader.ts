/** A whole answer as it came on a connection. */
export type ReadAnswer = {
  readonly status: number;
  readonly seal: string | undefined;
  readonly attempt: string | undefined;
  readonly body: string;
};

const fieldOf = (head: string, name: string): string | undefined =>
  new RegExp(`^${name}: (.*)$`, 'im').exec(head)?.[1]?.trim();

type Body = { readonly text: string; readonly endPlace: number };

/** A body in chunks from a place on; undefined while it is not whole. */
const chunkedBody = (text: string, startPlace: number): Body | undefined => {
  let place = startPlace;
  let body = '';
  for (;;) {
    const lineEnd = text.indexOf('\r\n', place);
    const size = Number.parseInt(text.slice(place, lineEnd), 16);
    const chunkEnd = lineEnd + 2 + size;
    if (lineEnd < 0 || text.length < chunkEnd + 2) return undefined;
    body += text.slice(lineEnd + 2, chunkEnd);
    place = chunkEnd + 2;
    if (size === 0) return { text: body, endPlace: place };
  }
};

const countedBody = (text: string, startPlace: number, length: number): Body | undefined =>
  text.length < startPlace + length
    ? undefined
    : { text: text.slice(startPlace, startPlace + length), endPlace: startPlace + length };

/** Takes the bytes of one connection, as latin1, and gives each answer once it is whole. */
export const openAnswerReader = (): ((bytes: string) => readonly ReadAnswer[]) => {
  let rest = '';
  const next = (): ReadAnswer | undefined => {
    const headEnd = rest.indexOf('\r\n\r\n');
    if (headEnd < 0) return undefined;
    const head = rest.slice(0, headEnd);
    const body =
      fieldOf(head, 'transfer-encoding') === undefined
        ? countedBody(rest, headEnd + 4, Number(fieldOf(head, 'content-length') ?? 0))
        : chunkedBody(rest, headEnd + 4);
    if (body === undefined) return undefined;
    rest = rest.slice(body.endPlace);
    return {
      status: Number(head.slice(9, 12)),
      seal: fieldOf(head, 'ledgehill-server-seal'),
      attempt: fieldOf(head, 'ledgehill-attempt-id'),
      body: body.text,
    };
  };
  return (bytes) => {
    rest += bytes;
    const answers: ReadAnswer[] = [];
    for (let answer = next(); answer !== undefined; answer = next()) answers.push(answer);
    return answers;
  };
};
