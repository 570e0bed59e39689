import { number, string } from 'yup';

/** A schema for a required integer from `least` to `most`, both included. */
export const integerBetween = (least: number, most: number) => number().required().integer().min(least).max(most);

/** A schema for a duration in microseconds. */
export const durationUs = (least: number, most: number) => integerBetween(least, most);

/** A schema for the name of a fleet, service, tier or kind. */
export const nameSchema = () =>
  string()
    .required()
    .matches(
      /^[a-z0-9][a-z0-9-]{0,62}$/,
      '${path} must be 1 to 63 lower-case letters, digits or hyphens, and must not begin with a hyphen',
    );

/**
 * The maximum grace period of a leaving server; at this limit the server gets no new work after about three seconds.
 */
export const maxGraceUs = 2_500_000;
