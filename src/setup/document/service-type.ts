/** A model service keeps what it has read of openings; a web service keeps nothing. */
export type ServiceType = 'model' | 'web';
