import { object, string, type Schema } from 'yup';

const typeSchema = object({ type: string().required() }).required();

type Schemas<T extends { readonly type: string }> = { readonly [K in T['type']]: Schema<T> };

/** A type guard for a union discriminated by `type`, from one schema for each member. */
export const unionGuard =
  <T extends { readonly type: string }>(schemas: Schemas<T>) =>
  (value: unknown): value is T => {
    if (!typeSchema.isValidSync(value, { strict: true })) return false;
    const schema = Object.entries<Schema<T>>(schemas).find(([type]) => type === value.type)?.[1];
    return schema?.isValidSync(value, { strict: true }) ?? false;
  };

/** A schema for the `type` field of one union member: that literal only. */
export const literalType = <T extends string>(type: T) => string<T>().required().oneOf([type]);
