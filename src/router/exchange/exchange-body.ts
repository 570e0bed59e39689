import { number, object, string, type InferType } from 'yup';

/** What a caller sends. */
export const exchangeBodySchema = object({
  kind: string().required().max(63),
  opening: string().default(''),
  text: string().defined().default(''),
  budgetUs: number().integer().min(1_000).max(3_600_000_000),
})
  .required()
  .noUnknown();

export type ExchangeBody = InferType<typeof exchangeBodySchema>;
