/** The two parts of an IP:port address. */
export type AddressParts = { readonly host: string; readonly port: number };

export const addressParts = (address: string): AddressParts => {
  const splitPlace = address.lastIndexOf(':');
  return { host: address.slice(0, splitPlace).replace(/^\[|\]$/g, ''), port: Number(address.slice(splitPlace + 1)) };
};
