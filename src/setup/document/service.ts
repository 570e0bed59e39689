import type { ServiceType } from './service-type.js';

/** A service that exchanges may be delivered to. */
export type Service = {
  readonly name: string;
  readonly type: ServiceType;
};
