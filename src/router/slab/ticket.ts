/** A place in a slab and the generation that holds it. A ticket of a former generation opens nothing. */
export type Ticket = {
  readonly index: number;
  readonly generation: number;
};

export const ticketName = (ticket: Ticket): string => `${ticket.index}.${ticket.generation}`;
