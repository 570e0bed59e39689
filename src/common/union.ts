import { object, string, type Schema } from 'yup';

const typeSchema = object({ type: string().required() }).required();

type Schemas<T extends { readonly type: string }> = { readonly [K in T['type']]: Schema<T> };

/** A guard for a union whose members are told apart by `type`, from one schema a member. */
export const unionGuard =
  <T extends { readonly type: string }>(schemas: Schemas<T>) =>
  (value: unknown): value is T => {
    if (!typeSchema.isValidSync(value, { strict: true })) return false;
    const foundSchema = Object.entries<Schema<T>>(schemas).find(([type]) => type === value.type)?.[1];
    return foundSchema?.isValidSync(value, { strict: true }) ?? false;
  };

/** The literal type of a union's member, for its schema. */
export const typed = <T extends string>(type: T) => string<T>().required().oneOf([type]);
