/** A deliberate fault: one change of one source file, and what must find it. */
export type Mutant = {
  readonly name: string;
  readonly file: string;
  /** Stands exactly once in the file. */
  readonly find: string;
  readonly put: string;
  readonly by: MutantFinder;
};

/** Seeds of a virtual scenario of which one must break the rule, or a test file that must fail. */
export type MutantFinder =
  | {
      readonly type: 'seeds';
      readonly scenario: string;
      readonly first: number;
      readonly last: number;
      readonly rule: string;
    }
  | { readonly type: 'test'; readonly file: string };
