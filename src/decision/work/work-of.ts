import type { OpeningPart } from '../../router/opaque/opening-part.js';
import { prefixOf } from '../ring/prefix.js';
import type { Work } from './work.js';

/** The parts of a prompt that other exchanges may share: all but the last, which belongs to the exchange or its session. */
export const sharedPartsOf = (opening: readonly OpeningPart[]): readonly OpeningPart[] =>
  opening.length > 1 ? opening.slice(0, -1) : opening;

const textOf = (parts: readonly OpeningPart[]): string => parts.map(({ part }) => part).join(',');

/** The text that identifies the shared prefix of a prompt; its hash is the `Prefix`. */
export const prefixTextOf = (opening: readonly OpeningPart[]): string => textOf(sharedPartsOf(opening));

/** The work of an exchange. Its tokens to prefill are at least those of the parts of its prompt. */
export const workOf = (
  service: string,
  opening: readonly OpeningPart[],
  readTokens: number,
  writeTokens: number,
): Work => {
  const shared = sharedPartsOf(opening);
  let tokens = 0;
  const levels = shared.map((part, index) => {
    tokens += part.tokens;
    return { prefix: prefixOf(service, textOf(shared.slice(0, index + 1))), tokens };
  });
  const partTokens = opening.reduce((sum, part) => sum + part.tokens, 0);
  return { levels, readTokens: Math.max(readTokens, partTokens), writeTokens };
};
