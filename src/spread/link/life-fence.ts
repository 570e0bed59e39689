import type { LinkIdentity } from './link-identity.js';

/** Between which processes a frame travels, and on which connection. */
export type FrameEnvelope = {
  readonly sender: LinkIdentity;
  /** The life of the process that the sender spoke to when it sent the frame. */
  readonly receiverLife: string;
  /** The receiver's count of accepted connections when it accepted the one that carries the frame. */
  readonly connection: number;
};

/** Why a frame is not taken. */
export type DropCause = 'other-life' | 'other-fleet';

/** Drops frames that are meant for, or come from, another process than the ones that now have the two addresses. */
export type LifeFence = {
  /** The cause to drop a frame; none for a frame to take. */
  readonly check: (envelope: FrameEnvelope) => DropCause | undefined;
};

type KnownLife = { readonly life: string; readonly connection: number };

/** Far more than a fleet has nodes; the addresses heard longest ago are forgotten first. */
const mostKnownLives = 16_384;

/**
 * A sender sends nothing on a connection before it has read the greeting that the receiver writes on accepting it. So
 * whoever sent a frame was alive after its connection was accepted, and of two lives of one address the later one is
 * that of the connection accepted later, whatever the order in which their bytes are read.
 */
export const openLifeFence = ({ life: ownLife, fleet }: Pick<LinkIdentity, 'life' | 'fleet'>): LifeFence => {
  const knownLives = new Map<string, KnownLife>();

  const remember = (address: string, known: KnownLife): void => {
    knownLives.delete(address);
    knownLives.set(address, known);
    if (knownLives.size <= mostKnownLives) return;
    const [oldestAddress] = knownLives.keys();
    if (oldestAddress !== undefined) knownLives.delete(oldestAddress);
  };

  return {
    check: ({ sender, receiverLife, connection }) => {
      if (sender.fleet !== fleet) return 'other-fleet';
      if (receiverLife !== ownLife) return 'other-life';
      const known = knownLives.get(sender.address);
      if (known !== undefined && known.life !== sender.life && known.connection > connection) return 'other-life';
      const newestConnection = Math.max(connection, known?.connection ?? connection);
      remember(sender.address, { life: sender.life, connection: newestConnection });
      return undefined;
    },
  };
};
