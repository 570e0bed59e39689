/** One server as a reading shows it; the platform tells no times. */
export type ReadServer = {
  readonly id: string;
  readonly incarnation?: string;
  readonly service: string;
  readonly address: string;
  readonly locality: string;
  readonly state: 'up' | 'leaving';
  readonly slots?: number;
  readonly weights?: string;
};
