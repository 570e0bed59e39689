import { number, object, string, type InferType } from 'yup';

/**
 * The JSON body of a request. `kind` selects the rule; `opening` is the prompt prefix, whose prefill can be reused;
 * `tokens` is the declared cost under a quota of tokens.
 */
export const exchangeBodySchema = object({
  kind: string().required().max(63),
  opening: string().optional(),
  text: string().optional(),
  tokens: number().integer().min(0),
  budgetUs: number().integer().min(1_000).max(3_600_000_000),
})
  .required()
  .noUnknown();

export type ExchangeBody = Readonly<InferType<typeof exchangeBodySchema>>;
