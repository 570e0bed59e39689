/** Servers of a model service cache the prompt prefixes that they have read; servers of a web service cache nothing. */
export type ServiceType = 'model' | 'web';
