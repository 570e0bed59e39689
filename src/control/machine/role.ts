/** What a core machine is at a moment. */
export type Role = 'unfounded' | 'learner' | 'follower' | 'pre-candidate' | 'candidate' | 'leader';
