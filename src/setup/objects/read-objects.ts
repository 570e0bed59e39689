import { Left, Right, type Either } from 'purify-ts';
import { parseAllDocuments } from 'yaml';
import type { Fault } from '../../common/fault.js';

/** One document of a text, with its place in it. */
export type PlacedDocument = { readonly place: number; readonly value: unknown };

/** Reads a text of one or several documents, YAML or JSON; empty ones are passed over. */
export const readObjects = (text: string): Either<readonly Fault[], readonly PlacedDocument[]> => {
  const parsed = parseAllDocuments(text);
  const documents = Array.isArray(parsed) ? parsed : [];
  const faults = documents.flatMap((document, index) =>
    document.errors.map((error) => ({
      path: `document ${index + 1}`,
      message: error.message.split('\n')[0] ?? 'not YAML',
    })),
  );
  if (faults.length > 0) return Left(faults);
  return Right(
    documents.flatMap((document, index) => {
      const value: unknown = document.toJS();
      return value === null || value === undefined ? [] : [{ place: index + 1, value }];
    }),
  );
};
