import type { Micros } from '../../../common/micros.js';

/** A document as the register holds it. Version 0 without a text stands for a register that nothing was written to. */
export type RegisterValue = { readonly version: number; readonly text: string | undefined };

/** What a client was told about its order. */
export type OrderAnswer =
  /** The order has taken effect, now or when it was sent before. */
  | 'committed'
  /** The order has not taken effect since its base was not the version in force. */
  | 'conflict'
  /** Nothing is known: it may take effect at any later moment, or never. */
  | 'unknown';

/** One call of a client on a register with compare-and-set, from its call to its answer. */
export type RegisterOperation =
  | {
      readonly type: 'order';
      readonly client: string;
      readonly calledUs: Micros;
      readonly answeredUs: Micros;
      readonly value: RegisterValue;
      /** The version that must be in force for the order to take effect. */
      readonly base: number;
      readonly answer: OrderAnswer;
    }
  | {
      readonly type: 'read';
      readonly client: string;
      readonly calledUs: Micros;
      readonly answeredUs: Micros;
      readonly value: RegisterValue;
    };

export type OrderOperation = Extract<RegisterOperation, { readonly type: 'order' }>;

export const emptyRegister: RegisterValue = { version: 0, text: undefined };

/** The same for the same document, whoever sends it. */
export const keyOfValue = ({ version, text }: RegisterValue): string => `${version} ${text ?? ''}`;
