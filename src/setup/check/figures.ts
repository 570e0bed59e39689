import { number, string } from 'yup';

export const wholeFrom = (least: number, most: number) => number().required().integer().min(least).max(most);

export const micros = (least: number, most: number) => wholeFrom(least, most);

export const nameOf = () =>
  string()
    .required()
    .matches(/^[a-z0-9][a-z0-9-]{0,62}$/, '${path} must be a short lower-case name');

/** The longest grace of a leaving server, so that it gets no new work after about three seconds. */
export const mostGraceUs = 2_500_000;
