/**
 * The parts of undici that this project uses. Its main module also loads fetch, web sockets, caches and cookies, whose
 * loading took about a fifth of the processor time of a start.
 */
import api from 'undici/lib/api/index.js';
import buildConnector from 'undici/lib/core/connect.js';
import Client from 'undici/lib/dispatcher/client.js';
import Dispatcher from 'undici/lib/dispatcher/dispatcher.js';

Object.assign(Dispatcher.prototype, api);

export { buildConnector, Client };
