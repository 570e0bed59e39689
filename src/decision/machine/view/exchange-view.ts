import type { Micros } from '../../../common/micros.js';
import type { ServerKey } from '../../../servers/list/server-key.js';
import type { Rule } from '../../../setup/document/rule.js';
import type { FlightKey } from '../../flight/flight.js';
import type { Position } from '../../ring/position.js';
import type { Work } from '../../work/work.js';
import type { Prefix } from '../../ring/prefix.js';

/** One exchange in the machine's view. */
export type ExchangeView = {
  readonly exchange: string;
  readonly rule: Rule;
  readonly tierPlace: number;
  readonly prefix: Prefix;
  readonly position: Position;
  readonly work: Work | undefined;
  readonly arrivedUs: Micros;
  /** What its server had to read, and how long it would have to wait before that, as far as was known. */
  readonly given: { readonly tokens: number; readonly waitUs: Micros };
  readonly dueUs: Micros;
  readonly attempt: number;
  readonly tried: readonly ServerKey[];
  /** The server of the running try; none while held. */
  readonly server: ServerKey | undefined;
  readonly deliveredUs: Micros;
  readonly sent: boolean;
  readonly started: boolean;
  /** The next piece that the caller is owed. */
  readonly fromPiece: number;
  /** Whether the next try repeats work that may have begun. */
  readonly nextIsExtra: boolean;
  /** Whether any try so far may have run. */
  readonly mayHaveRun: boolean;
  /** How many servers it was sent to. */
  readonly sends: number;
  readonly leads: FlightKey | undefined;
  readonly follows: FlightKey | undefined;
  /** When waiting behind a prefill ends; set by the first wait, never moved. */
  readonly holdUntilUs: Micros | undefined;
};
