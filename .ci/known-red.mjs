// Decides whether a failed test run counts as passed, which it does if every failed test is listed
// in KNOWN-RED.txt. Usage: node .ci/known-red.mjs LOG KNOWN-RED.txt
import { existsSync, readFileSync } from 'node:fs';
import { stripVTControlCharacters } from 'node:util';

const [logFile = '', listFile = ''] = process.argv.slice(2);
const lines = stripVTControlCharacters(readFileSync(logFile, 'utf8'))
  .split('\n')
  .map((line) => line.trim());
const listedNames = existsSync(listFile)
  ? readFileSync(listFile, 'utf8')
      .split('\n')
      .filter((line) => line.includes(' | '))
      .map((line) => line.split(' | ', 1)[0].trim())
  : [];
const failedTitles = lines
  .filter((line) => line.startsWith('✘ [fail]: '))
  .map((line) => line.slice('✘ [fail]: '.length));
const listedFailures = failedTitles.filter((title) =>
  listedNames.some((name) => title === name || title.startsWith(`${name} `)),
);
/**
 * Failures that ava reports other than failed tests: files that exit with an error, uncaught
 * errors, timeouts and hooks.
 */
const otherFailures = lines.filter(
  (line) => line.startsWith('✘ ') && !line.startsWith('✘ [fail]: '),
);
const failureCount = /^(\d+) tests? failed$/.exec(
  lines.findLast((line) => /^\d+ tests? failed$/.test(line)) ?? '',
);
const isLogComplete =
  failureCount !== null &&
  Number(failureCount[1]) === failedTitles.length &&
  !lines.some((line) =>
    /^\d+ (uncaught exceptions?|unhandled rejections?|known failures?)$/.test(line),
  );
for (const title of listedFailures) console.log(`KNOWN RED: ${title}`);
for (const name of listedNames)
  if (!listedFailures.some((title) => title.startsWith(name)))
    console.log(`listed as red, but passed: ${name}`);
if (
  failedTitles.length === 0 ||
  !isLogComplete ||
  otherFailures.length > 0 ||
  listedFailures.length < failedTitles.length
) {
  console.log(
    `failures that are not listed: ${[...failedTitles.filter((title) => !listedFailures.includes(title)), ...otherFailures].join('; ') || 'the run itself'}`,
  );
  process.exit(1);
}
