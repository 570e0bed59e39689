/** Host and port of an `IP:port` address; an IPv6 host is without its brackets. */
export type AddressParts = { readonly host: string; readonly port: number };

export const addressParts = (address: string): AddressParts => {
  const colonIndex = address.lastIndexOf(':');
  return { host: address.slice(0, colonIndex).replace(/^\[|\]$/g, ''), port: Number(address.slice(colonIndex + 1)) };
};
