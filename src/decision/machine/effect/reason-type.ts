/** Why a server was chosen. */
export type ReasonType =
  | 'ring'
  | 'warm-up'
  | 'settling'
  | 'paced-back'
  | 'handing-over'
  | 'spill'
  | 'dark-owner'
  | 'failing-owner'
  | 'emergency';
