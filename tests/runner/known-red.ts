import { Left, Right, type Either } from 'purify-ts';

/** A test that fails for a fault that is known and not mended yet. */
export type KnownRed = {
  /** The test's file below `tests/`, without its ending. */
  readonly test: string;
  readonly cause: string;
  readonly issue: string;
};

/** How many tests may stand on the list at once. */
export const mostKnownRed = 3;

const lineForm = /^(?<test>[a-z0-9/-]+\.test): (?<cause>.+), issue (?<issue>\d+)$/;

const knownRedOf = (line: string): Either<string, KnownRed> => {
  const { test, cause, issue } = lineForm.exec(line)?.groups ?? {};
  return test === undefined || cause === undefined || issue === undefined
    ? Left(`not of the form "FILE.test: CAUSE, issue N": ${line}`)
    : Right({ test, cause, issue });
};

/** Reads the list: one line for each test, blank lines passed over. A line of another form, or one too many, is an error. */
export const readKnownRed = (text: string): Either<string, readonly KnownRed[]> => {
  const lines = text.split('\n').filter((line) => line.trim() !== '');
  if (lines.length > mostKnownRed) return Left(`more than ${mostKnownRed} tests are on the list`);
  return lines.reduce<Either<string, readonly KnownRed[]>>(
    (read, line) => read.chain((known) => knownRedOf(line).map((next) => [...known, next])),
    Right([]),
  );
};

/** The pattern of the files that are passed over. */
export const ignoredFiles = (known: readonly KnownRed[]): readonly RegExp[] =>
  known.map(({ test }) => new RegExp(`(^|/)${test.replace(/[.]/g, '\\.')}\\.js$`));
