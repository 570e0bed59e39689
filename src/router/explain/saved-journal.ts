import { Left, Right, type Either } from 'purify-ts';
import { boolean, number, object, string } from 'yup';
import { checked } from '../../common/checked.js';
import { parseJson } from '../../common/json.js';
import { typedError, type TypedError } from '../../common/typed-error.js';
import type { ExchangeStory } from './exchange-story.js';
import { storySchema } from './story-schema.js';

const headSchema = object({ journal: string().required().oneOf(['ledgehill']), node: string().required() })
  .required()
  .noUnknown();
const endSchema = object({ end: boolean().required().oneOf([true]), stories: number().required().integer().min(0) })
  .required()
  .noUnknown();

/** A node's journal of exchanges as text: a head, one story a line, and an end that counts them. */
export const journalTextOf = (node: string, stories: readonly ExchangeStory[]): string =>
  [{ journal: 'ledgehill', node }, ...stories, { end: true, stories: stories.length }]
    .map((line) => `${JSON.stringify(line)}\n`)
    .join('');

const damaged = (line: number, message: string): TypedError => typedError('bad-journal', `line ${line}: ${message}`);

/** Reads a saved journal; one that was cut short or changed is an error that names the line. */
export const readJournal = (text: string): Either<TypedError, readonly ExchangeStory[]> => {
  const lines = text.split('\n');
  if (lines.pop() !== '') return Left(damaged(lines.length + 1, 'the last line is not whole'));
  const parsed = lines.map((line) => parseJson(line, 'bad-journal'));
  const broken = parsed.findIndex((line) => line.isLeft());
  if (broken >= 0) return Left(damaged(broken + 1, 'not JSON'));
  const values = parsed.map((line) => line.unsafeCoerce());
  if (checked(headSchema, values[0]).isLeft()) return Left(damaged(1, 'this is not the head of a ledgehill journal'));
  const storyValues = values.slice(1, -1);
  const stories: ExchangeStory[] = [];
  for (const [place, value] of storyValues.entries()) {
    const story = checked(storySchema, value);
    if (story.isLeft())
      return Left(
        damaged(
          place + 2,
          story
            .extract()
            .map((fault) => `${fault.path}: ${fault.message}`)
            .join('; '),
        ),
      );
    story.ifRight((read) => stories.push(read));
  }
  return checked(endSchema, values[values.length - 1])
    .mapLeft(() => damaged(lines.length, 'the end is missing: the journal was cut short'))
    .chain((end) =>
      end.stories === stories.length
        ? Right(stories)
        : Left(damaged(lines.length, `${end.stories} stories should be there, ${stories.length} are`)),
    );
};
