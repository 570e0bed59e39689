import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import { Socket } from 'node:net';
import type { Duplex } from 'node:stream';
import { abortResponse } from './abort-response.js';

/** Drains the connections of clients when a process stops. */
export type ConnectionDrain = {
  /** Makes the response to the newest accepted request of each connection its last one, from now on. */
  readonly closeAfterNewest: () => void;
  /** Closes the connections without an unanswered request. */
  readonly closeIdle: () => void;
  /** Refuses the accepted requests whose response has not begun; none of them may run after that. */
  readonly refuseUnanswered: () => void;
  /** The number of accepted requests whose response is not completely sent. */
  readonly unanswered: () => number;
};

/**
 * Tracks the requests of each connection in order, since clients may pipeline them (HTTP/1.1). Each accepted request is answered before
 * its connection closes, and a request that could not be answered is not accepted.
 */
export type ClientConnections = ConnectionDrain & {
  /**
   * Accepts a request as the next one of its connection. False if an earlier response closes the connection: then the request
   * must not run, and the close shows its client that it did not.
   */
  readonly accept: (message: IncomingMessage, response: ServerResponse) => boolean;
  /**
   * Closes a connection after a protocol error: once all completely received requests are answered, or at once if the response to an
   * incomplete one has begun. False if neither applies, so that the error itself can be answered.
   */
  readonly closeAfterResponses: (socket: Duplex) => boolean;
  /** Aborts all responses that are not completely sent. */
  readonly breakOff: () => void;
};

type AcceptedRequest = { readonly message: IncomingMessage; readonly response: ServerResponse };

type Connection = {
  /** The unanswered requests, in order. */
  readonly open: Set<AcceptedRequest>;
  newest: AcceptedRequest | undefined;
  /** Whether a response is certain to close the connection, or the client has asked for the close. */
  isClosing: boolean;
};

/** Whether the head of a response has been sent and announces the close of the connection. */
const isLast = ({ response }: AcceptedRequest): boolean => response.headersSent && !response.shouldKeepAlive;

/** Makes a response the last one of its connection; false if its head has been sent already. */
const makeLast = ({ response }: AcceptedRequest): boolean => {
  if (response.headersSent) return false;
  response.shouldKeepAlive = false;
  return true;
};

/** Closes the responses queued behind another one. They have no socket yet, so Node emits no 'close' for them. */
const closeQueued = ({ open }: Connection): void => {
  for (const { response } of [...open]) {
    if (response.socket !== null) continue;
    response.destroy();
    response.emit('close');
  }
};

/** Tracks the connections of a server, which must not listen yet. `refuse` answers a request that did not run and never will. */
export const openClientConnections = (
  server: Server,
  refuse: (response: ServerResponse) => void,
): ClientConnections => {
  const connections = new Map<Socket, Connection>();
  let unanswered = 0;
  let isRetired = false;

  const track = (socket: Socket): Connection => {
    const connection: Connection = { open: new Set(), newest: undefined, isClosing: false };
    connections.set(socket, connection);
    socket.once('close', () => {
      connections.delete(socket);
      closeQueued(connection);
    });
    return connection;
  };

  const add = (connection: Connection, request: AcceptedRequest): void => {
    connection.open.add(request);
    connection.newest = request;
    unanswered += 1;
    request.response.once('close', () => {
      connection.open.delete(request);
      unanswered -= 1;
      if (connection.newest !== request) return;
      connection.newest = undefined;
      connection.isClosing ||= isLast(request);
    });
  };

  const take = (message: IncomingMessage, response: ServerResponse): boolean => {
    const connection = connections.get(message.socket) ?? track(message.socket);
    const { newest } = connection;
    if (connection.isClosing || (newest !== undefined && isLast(newest))) return false;
    if (newest !== undefined) newest.response.shouldKeepAlive = true;
    const request: AcceptedRequest = { message, response };
    connection.isClosing = !response.shouldKeepAlive;
    add(connection, request);
    if (isRetired) makeLast(request);
    return true;
  };

  server.on('connection', track);

  return {
    breakOff: () => {
      for (const { open } of connections.values()) for (const { response } of [...open]) abortResponse(response);
    },
    refuseUnanswered: () => {
      for (const { open } of connections.values())
        for (const { response } of [...open]) if (!response.headersSent) refuse(response);
    },
    accept: take,
    unanswered: () => unanswered,
    closeAfterNewest: () => {
      isRetired = true;
      for (const { newest } of connections.values()) if (newest !== undefined) makeLast(newest);
    },
    closeIdle: () => {
      for (const [socket, { open }] of connections) if (open.size === 0) socket.destroySoon();
    },
    closeAfterResponses: (socket) => {
      const connection = socket instanceof Socket ? connections.get(socket) : undefined;
      if (!(socket instanceof Socket) || connection === undefined) return false;
      const open = [...connection.open];
      const last = open.filter(({ message }) => message.complete).at(-1);
      if (last === undefined) {
        if (!open.some(({ response }) => response.headersSent)) return false;
        socket.destroySoon();
        return true;
      }
      if (!connection.isClosing && !makeLast(last)) last.response.once('finish', () => socket.destroySoon());
      connection.isClosing = true;
      return true;
    },
  };
};
