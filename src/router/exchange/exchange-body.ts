import { number, object, string, type InferType } from 'yup';

/** What a caller sends. */
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
