/** What the platform says of a server. */
export type ServerState = 'up' | 'leaving';
