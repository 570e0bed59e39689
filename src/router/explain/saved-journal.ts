import { Left, Right, type Either } from 'purify-ts';
import { boolean, number, object, string } from 'yup';
import { validate } from '../../common/validate.js';
import { parseJson } from '../../common/json.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { ExchangeTrace } from './exchange-trace.js';
import { traceSchema } from './trace-schema.js';

const headSchema = object({ journal: string().required().oneOf(['ledgehill']), node: string().required() })
  .required()
  .noUnknown();
const endSchema = object({ end: boolean().required().oneOf([true]), stories: number().required().integer().min(0) })
  .required()
  .noUnknown();

/** A node's traces as JSON lines: a header, one trace a line, and a trailer with their count. */
export const journalTextOf = (node: string, traces: readonly ExchangeTrace[]): string =>
  [{ journal: 'ledgehill', node }, ...traces, { end: true, stories: traces.length }]
    .map((line) => `${JSON.stringify(line)}\n`)
    .join('');

const journalError = (line: number, message: string): TypedError =>
  typedError('bad-journal', `line ${line}: ${message}`);

/** Parses a saved journal; an error names the first line that is malformed, or the last if the journal is truncated. */
export const readJournal = (text: string): Either<TypedError, readonly ExchangeTrace[]> => {
  const lines = text.split('\n');
  if (lines.pop() !== '') return Left(journalError(lines.length + 1, 'the last line is not whole'));
  const parsed = lines.map((line) => parseJson(line, 'bad-journal'));
  const malformed = parsed.findIndex((line) => line.isLeft());
  if (malformed >= 0) return Left(journalError(malformed + 1, 'not JSON'));
  const values = parsed.map((line) => line.unsafeCoerce());
  if (validate(headSchema, values[0]).isLeft()) return Left(journalError(1, 'not the header of a ledgehill journal'));
  const traceValues = values.slice(1, -1);
  const traces: ExchangeTrace[] = [];
  for (const [index, value] of traceValues.entries()) {
    const trace = validate(traceSchema, value);
    if (trace.isLeft())
      return Left(
        journalError(
          index + 2,
          trace
            .extract()
            .map((fault) => `${fault.path}: ${fault.message}`)
            .join('; '),
        ),
      );
    trace.ifRight((validTrace) => traces.push(validTrace));
  }
  return validate(endSchema, values[values.length - 1])
    .mapLeft(() => journalError(lines.length, 'trailer missing: the journal is truncated'))
    .chain((end) =>
      end.stories === traces.length
        ? Right(traces)
        : Left(journalError(lines.length, `${end.stories} stories should be there, ${traces.length} are`)),
    );
};
