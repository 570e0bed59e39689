import { Left, Right, type Either } from 'purify-ts';
import { parseAllDocuments } from 'yaml';
import type { Fault } from '../../common/fault.js';

/** A document and its position in the text, counted from 1. */
export type ParsedDocument = { readonly position: number; readonly value: unknown };

/** Parses a text of one or several documents, YAML or JSON; empty documents are skipped. */
export const readObjects = (text: string): Either<readonly Fault[], readonly ParsedDocument[]> => {
  const parsed = parseAllDocuments(text);
  const documents = Array.isArray(parsed) ? parsed : [];
  const faults = documents.flatMap((document, index) =>
    document.errors.map((error) => ({
      path: `document ${index + 1}`,
      message: error.message.split('\n')[0] ?? 'invalid YAML',
    })),
  );
  if (faults.length > 0) return Left(faults);
  return Right(
    documents.flatMap((document, index) => {
      const value: unknown = document.toJS();
      return value === null || value === undefined ? [] : [{ position: index + 1, value }];
    }),
  );
};
