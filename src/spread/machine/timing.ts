import type { Micros } from '../../common/micros.js';

/** The heartbeat interval of a small fleet. */
export const heartbeatIntervalUs: Micros = 200_000;
/** The heartbeat interval of the largest fleets. */
const maxHeartbeatIntervalUs: Micros = 1_000_000;
/** Up to this number of addresses, digests go to all of them. */
export const maxSmallFleetAddresses = 16;
/** A process without a frame from any peer for this long counts as isolated. */
export const isolationTimeoutUs: Micros = 1_500_000;
/** For this long a small fleet still sends digests to a lost peer. */
export const lostPeerContactUs: Micros = 30_000_000;
/** For this long a lost peer is remembered and occasionally contacted. */
export const lostPeerRetentionUs: Micros = 600_000_000;
/** For this long a peer may respond to an inquiry before another one receives an inquiry for the same versions. */
export const inquiryTimeoutUs: Micros = 150_000;
/** A probe is repeated after this time-out; when the last one times out, the peer becomes suspect. */
export const probeTimeoutUs: Micros = 600_000;
/** The number of probes, the first one included, before a peer becomes suspect. */
export const maxProbes = 3;
/** The time in which a suspect can refute the suspicion before it is declared dead. */
export const suspicionTimeoutUs: Micros = 4_000_000;
/** Without a frame from any peer for this long, digests are pulled without waiting for a heartbeat. */
export const maxContactAgeUs: Micros = 700_000;
/** The same for the age of the latest complete reading of the platform's list. */
export const maxReadingAgeUs: Micros = 900_000;
/** A reading's stamp is pushed only if the reading began this much later than the one pushed last. */
export const readingPushIntervalUs: Micros = 300_000;
/** After differing membership for this long, a full synchronization is requested. */
export const divergenceTimeoutUs: Micros = 500_000;
/** The minimum time between two full synchronizations. */
export const fullSyncIntervalUs: Micros = 1_000_000;

/** Above this number of addresses, the heartbeat interval grows in proportion to it. */
const baseIntervalAddresses = 16;

/** The heartbeat interval of a fleet: longer in a large one, where changes are pushed without waiting for a heartbeat. */
export const heartbeatIntervalUsOf = (addresses: number): Micros =>
  addresses <= maxSmallFleetAddresses
    ? heartbeatIntervalUs
    : Math.min(
        maxHeartbeatIntervalUs,
        Math.max(heartbeatIntervalUs, Math.round((heartbeatIntervalUs * addresses) / baseIntervalAddresses)),
      );

/** The number of buckets into which membership is divided for comparison. */
export const membershipBuckets = 32;
