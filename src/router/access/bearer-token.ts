const bearerForm = /^bearer +(\S+) *$/i;

/** The token of an `Authorization: Bearer` header; none where the header is absent or of another scheme. */
export const bearerTokenOf = (authorization: string | undefined): string | undefined =>
  authorization === undefined ? undefined : bearerForm.exec(authorization)?.[1];
