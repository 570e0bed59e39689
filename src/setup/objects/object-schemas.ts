import { mixed, object, string, type InferType } from 'yup';

export const apiVersion = 'ledgehill/v1';

export const objectKinds = ['Fleet', 'Service', 'Tier', 'Rule', 'Tenant'] as const;

const metadataSchema = object({ name: string().required() }).required().noUnknown();

const specSchema = mixed(
  (value): value is Readonly<Record<string, unknown>> =>
    typeof value === 'object' && value !== null && !Array.isArray(value),
).required('${path} must be an object');

/** The common fields of every object; the contents of `spec` are validated by the schema of the setup. */
export const objectSchema = object({
  apiVersion: string().required().oneOf([apiVersion], `\${path} must be ${apiVersion}`),
  kind: string()
    .required()
    .oneOf(objectKinds, `\${path} must be one of ${objectKinds.join(', ')}`),
  metadata: metadataSchema,
  spec: specSchema,
})
  .required()
  .noUnknown();

/** A Kubernetes-style object that describes one part of a setup. */
export type SetupObject = InferType<typeof objectSchema>;
