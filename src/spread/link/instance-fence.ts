import type { LinkIdentity } from './link-identity.js';

/** The sender and the receiver of a frame, and the connection that carries it. */
export type FrameEnvelope = {
  readonly sender: LinkIdentity;
  /** The instance ID from the receiver's greeting on this connection: the process that the frame was sent to. */
  readonly receiverLife: string;
  /** The sequence number that the receiver gave to the connection on accepting it. */
  readonly connection: number;
};

/** Why a frame is dropped: its sender or receiver has been replaced by a restart, or it is from another fleet. */
export type DropCause = 'other-life' | 'other-fleet';

/** Fences off frames from or to an earlier process instance at the same address, and frames of other fleets. */
export type InstanceFence = {
  /** The cause to drop a frame; undefined if the frame is accepted. */
  readonly check: (envelope: FrameEnvelope) => DropCause | undefined;
};

type KnownInstance = { readonly life: string; readonly connection: number };

/** Far more than a fleet has nodes; the least recently seen addresses are evicted first. */
const maxKnownInstances = 16_384;

/**
 * Orders the instances of an address by the sequence numbers of their connections. A sender writes nothing on a
 * connection before it has read the receiver's greeting, so it was running after the connection was accepted. Of two
 * instances at one address the later one is therefore the one whose connection was accepted later, whatever the order
 * in which their bytes are read.
 */
export const openInstanceFence = ({ life: ownLife, fleet }: Pick<LinkIdentity, 'life' | 'fleet'>): InstanceFence => {
  const knownInstances = new Map<string, KnownInstance>();

  const remember = (address: string, known: KnownInstance): void => {
    knownInstances.delete(address);
    knownInstances.set(address, known);
    if (knownInstances.size <= maxKnownInstances) return;
    const [oldestAddress] = knownInstances.keys();
    if (oldestAddress !== undefined) knownInstances.delete(oldestAddress);
  };

  return {
    check: ({ sender, receiverLife, connection }) => {
      if (sender.fleet !== fleet) return 'other-fleet';
      if (receiverLife !== ownLife) return 'other-life';
      const known = knownInstances.get(sender.address);
      if (known !== undefined && known.life !== sender.life && known.connection > connection) return 'other-life';
      const newestConnection = Math.max(connection, known?.connection ?? connection);
      remember(sender.address, { life: sender.life, connection: newestConnection });
      return undefined;
    },
  };
};
