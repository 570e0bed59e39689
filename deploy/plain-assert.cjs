/**
 * Assertions of bundled libraries. Without a message, those of Node read and parse the source around the failed one to word it;
 * in a bundle, whose lines are very long, this holds the process for seconds.
 */
const assert = require('node:assert');

const plainMessage = 'an assertion of a library failed';

const plainAssert = (value, message = plainMessage) => assert.ok(value, message);

module.exports = Object.assign(plainAssert, assert, { ok: plainAssert });
