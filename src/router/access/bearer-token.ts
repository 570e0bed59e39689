const bearerPattern = /^bearer +(\S+) *$/i;

/** The token of an `Authorization: Bearer` header; undefined if the header is absent or uses another scheme. */
export const bearerTokenOf = (authorization: string | undefined): string | undefined =>
  authorization === undefined ? undefined : bearerPattern.exec(authorization)?.[1];
