import type { OpeningPart } from '../../router/opaque/opening-part.js';
import { positionOf } from '../ring/position.js';
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

const leastServers = 6;

/** A third of the servers in whole powers of two, so that a server more or less moves no place. */
const anchorPlacesOf = (servers: number): number => 2 ** Math.floor(Math.log2(servers / 3));

const anchorShare = 1 / 3;

/**
 * Where the first part makes up much of what is shared, the openings that begin with it stand at a few places of the
 * ring only, so that few servers have to read it. Otherwise, and where there are few servers, an opening stands at a place
 * of its own.
 */
export const anchorOf = (service: string, opening: readonly OpeningPart[], servers: number): string | undefined => {
  const shared = sharedPartsOf(opening);
  const [first] = shared;
  const tokens = shared.reduce((sum, part) => sum + part.tokens, 0);
  if (first === undefined || shared.length < 2 || servers < leastServers || first.tokens < tokens * anchorShare)
    return undefined;
  return prefixOf(service, `${first.part}#${positionOf(nameOf(shared)) % anchorPlacesOf(servers)}`);
};
