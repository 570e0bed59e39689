import type { OpeningPart } from '../../router/opaque/opening-part.js';
import { prefixOf } from '../ring/prefix.js';
import type { Work } from './work.js';

/** The parts that others may share: all but the last, which is an exchange's own or its session's. */
export const sharedPartsOf = (opening: readonly OpeningPart[]): readonly OpeningPart[] =>
  opening.length > 1 ? opening.slice(0, -1) : opening;

const nameOf = (parts: readonly OpeningPart[]): string => parts.map(({ part }) => part).join(',');

export const openingNameOf = (opening: readonly OpeningPart[]): string => nameOf(sharedPartsOf(opening));

export const workOf = (
  service: string,
  opening: readonly OpeningPart[],
  readTokens: number,
  writeTokens: number,
): Work => {
  const shared = sharedPartsOf(opening);
  let tokens = 0;
  const levels = shared.map((part, place) => {
    tokens += part.tokens;
    return { prefix: prefixOf(service, nameOf(shared.slice(0, place + 1))), tokens };
  });
  const partTokens = opening.reduce((sum, part) => sum + part.tokens, 0);
  return { levels, readTokens: Math.max(readTokens, partTokens), writeTokens };
};
