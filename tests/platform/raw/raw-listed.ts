import type { ShownServer } from '../stand-in/open-provider.js';

/** How the platform's list shows a server of web requests whose bytes the test writes itself. */
export const rawListed = (id: string, address: string, slots: number): ShownServer => ({
  id,
  service: 'gallery',
  address,
  zone: 'vault-hall',
  type: 'web',
  slots,
  isDraining: () => false,
  version: () => 1,
});

/** How the platform's list shows a model server whose bytes the test writes itself. */
export const rawModelListed = (id: string, address: string, slots: number): ShownServer => ({
  ...rawListed(id, address, slots),
  service: 'readers',
  type: 'model',
});
