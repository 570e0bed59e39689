/** A process of the fleet. */
export type NodeRecord = { readonly node: string; readonly role: 'router' | 'control' };
