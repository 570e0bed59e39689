import type { Mutant } from './mutant.js';

const escaped = (text: string): string => text.replace(/[.*+?^${}()|[\]\\]/g, '\\$&');

/** Matches a text whatever its layout: white space and the commas that the formatter adds do not count. */
const layoutFree = (text: string): RegExp => {
  const tokens = text.match(/'(?:[^'\\]|\\.)*'|`[^`]*`|[A-Za-z0-9_$]+|[^\sA-Za-z0-9_$]/g) ?? [];
  return new RegExp(tokens.map(escaped).join('\\s*(?:,\\s*)?'), 'g');
};

/** The source with the one change of a mutant; nothing where its text does not stand there exactly once. */
export const applyMutant = (source: string, { find, put }: Pick<Mutant, 'find' | 'put'>): string | undefined => {
  const matches = [...source.matchAll(layoutFree(find))];
  const [match] = matches;
  if (match === undefined || matches.length !== 1) return undefined;
  return source.slice(0, match.index) + put + source.slice(match.index + match[0].length);
};
