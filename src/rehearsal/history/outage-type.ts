/** What a process, a server, or all callers at once, can be hit by. */
export type OutageType = 'down' | 'frozen' | 'dark' | 'disk' | 'grey' | 'crowd';
