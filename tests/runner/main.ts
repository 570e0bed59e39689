import { existsSync, readFileSync } from 'node:fs';
import { parse } from 'uvu/parse';
import { run } from 'uvu/run';
import { ignoredFiles, readKnownRed } from './known-red.js';

/** Runs all unit tests, or those whose file fits a pattern, but for the ones on the list of known failures. */
const listPath = 'KNOWN-RED.txt';
const testFolder = 'dist/tests';

const print = (line: string): void => void process.stdout.write(`${line}\n`);

const known = readKnownRed(existsSync(listPath) ? readFileSync(listPath, 'utf8') : '').caseOf({
  Left: (fault) => {
    throw new Error(`${listPath}: ${fault}`);
  },
  Right: (read) => read,
});
const pattern = new RegExp(process.argv[2] ?? '\\.test\\.js$');
const { suites } = await parse(testFolder, pattern, { ignore: [...ignoredFiles(known)] });
for (const { test, cause, issue } of known) print(`KNOWN RED, not run: ${test} (${cause}, issue ${issue})`);
await run(suites, { bail: false });
for (const { test } of known) print(`KNOWN RED, not run: ${test}`);
