import { test } from './finders.js';
import type { Mutant } from './mutant.js';

/** Deliberate faults in the way to and from a platform's words. */
export const platformMutants: readonly Mutant[] = [
  {
    name: 'a reset that is read by itself ends an answer without a length',
    file: 'src/servers/link/server-connection.ts',
    find: 'isBroken: () => hasFailed || (socket.destroyed && !hasEnded)',
    put: 'isBroken: () => false',
    by: test('tests/platform/answer-framing.test.js'),
  },
  {
    name: 'a reset that comes with the last bytes ends an answer without a length',
    file: 'src/servers/link/server-connection.ts',
    find: '        return false;',
    put: '        return true;',
    by: test('tests/platform/answer-framing.test.js'),
  },
  {
    name: 'the parser of the HTTP library is paused',
    file: 'platform/server/server-link.ts',
    find: 'onResponseData: (_controller, chunk) => {\n',
    put: 'onResponseData: (controller, chunk) => {\n          controller.pause();\n          setTimeout(() => controller.resume(), 20);\n',
    by: test('tests/platform/connection-states.test.js'),
  },
  {
    name: 'an answer to a client of HTTP/1.0 is broken off by an end in order',
    file: 'src/process/http/abort-response.ts',
    find: 'if (endsWithConnection(response)) response.socket?.resetAndDestroy();',
    put: '',
    by: test('tests/platform/answer-framing.test.js'),
  },
  {
    name: 'a settings file that changes without a signal is not seen',
    file: 'platform/settings/on-settings-change.ts',
    find: '    knownContent = content;\n    readAgain();',
    put: '    knownContent = content;',
    by: test('tests/platform/settings-change.test.js'),
  },
  {
    name: 'an answer to another request is given on',
    file: 'platform/server/server-link.ts',
    find: "exchange.name !== '' && valueOf(raw, headerNames.attempt) !== exchange.name",
    put: "exchange.name !== '' && raw.length === 0",
    by: test('tests/platform/one-answer.test.js'),
  },
];
