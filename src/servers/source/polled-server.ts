/** One server as the platform returns it to a poll; without stamps, which the fleet adds. */
export type PolledServer = {
  readonly id: string;
  readonly incarnation?: string;
  readonly service: string;
  readonly address: string;
  readonly locality: string;
  readonly state: 'up' | 'leaving';
  readonly slots?: number;
  readonly weights?: string;
};
