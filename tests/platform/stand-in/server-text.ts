import { createHash } from 'node:crypto';
import { largeAnswerIn } from './large-answer.js';

const markOf = (body: string): string => createHash('sha256').update(body, 'latin1').digest('hex').slice(0, 16);

type IdForm = { readonly write: (place: number) => string; readonly read: (id: string) => number };

const numberForm = (first: bigint, width = 0): IdForm => ({
  write: (place) => String(first + BigInt(place)).padStart(width, '0'),
  read: (id) => Number(BigInt(id) - first),
});

/** How servers write the IDs of their events: numbers of any length, and others. */
const idForms: readonly IdForm[] = [
  numberForm(0n),
  numberForm(0n, 12),
  numberForm(1_765_000_000_000_000n),
  numberForm(1_765_000_000_000_000_000n),
  numberForm(10n ** 40n),
  { write: (place) => `piece/${place}`, read: (id) => Number(id.slice('piece/'.length)) },
];

/** All servers write the IDs of one request in the same form. */
const idFormOf = (body: string): IdForm =>
  idForms[Number.parseInt(markOf(body).slice(0, 4), 16) % idForms.length] ?? numberForm(0n);

/** The ID of the nth event of the stream for a request. */
export const idText = (body: string, place: number): string => idFormOf(body).write(place);

/** Which event of the stream for a request an ID belongs to. */
export const placeOfId = (body: string, id: string): number => idFormOf(body).read(id);

/** The nth event of the stream for a request: the same at every server. */
export const eventText = (body: string, place: number, version?: number): string =>
  `${version === undefined ? '' : `ledgehill-weight-versions: ${version}\n`}id: ${idText(body, place)}\ndata: ${markOf(body)}-${place}\n\n`;

/** The plain answer to a request: the same at every server of the service, with bytes of all values. */
export const plainBytes = (service: string, body: string): Buffer => {
  const pattern = Buffer.concat([
    Buffer.from(`${service} ${markOf(body)} `, 'latin1'),
    Buffer.from(Array.from({ length: 256 }, (_, byte) => byte)),
  ]);
  const large = largeAnswerIn(body);
  return large === undefined ? pattern : Buffer.alloc(large.bytes, pattern);
};

/** The events of a stream after one, as they are without a change of weights. */
export const streamText = (body: string, after: number, events: number): string =>
  Array.from({ length: Math.max(0, events - after) }, (_, place) => eventText(body, after + 1 + place)).join('');
