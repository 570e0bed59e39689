/** The Raft role of a replica; `unfounded`: in no core yet, `learner`: a member that does not vote. */
export type Role = 'unfounded' | 'learner' | 'follower' | 'pre-candidate' | 'candidate' | 'leader';
