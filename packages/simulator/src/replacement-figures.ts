#!/usr/bin/env node
/** Prints how fast a lost member is replaced. */
import { parseArgs } from 'node:util';
import { timingSummaryOf, replaceMember, Site, disturbances, wipeMember } from './second-loss.js';

/** Times run from the start of a blank machine until it is a voting member, over many seeds. */
const { values } = parseArgs({
  options: {
    seeds: { type: 'string', default: '100' },
    'catch-up': { type: 'string', default: '4000' },
    wiped: { type: 'boolean', default: false },
  },
});
const lose = values.wiped ? wipeMember : replaceMember;
const catchUpMs = Number(values['catch-up']);
const allTimes: (number | null)[] = [];

/** Every fourth site has five members, two of which may be lost; the others have three and one. */
const siteFor = (seed: number, trouble: (typeof disturbances)[number]): Site => {
  const members = seed % 4 === 3 ? 5 : 3;
  const losses = (members - 1) / 2;
  const catchUp = catchUpMs > 0 ? { catchUpMs } : {};
  return new Site({ seed, members, successors: 1, losses, ...catchUp, ...trouble });
};

const show = (title: string, times: readonly (number | null)[]): void => {
  const { count, failed, medianMs, p99Ms, maxMs } = timingSummaryOf(times);
  const line = `median ${medianMs} ms, 99th ${p99Ms} ms, most ${maxMs} ms, of ${count}`;
  process.stdout.write(`${title}: ${line}, not within 20 s ${failed}\n`);
};

for (const trouble of disturbances) {
  const seeds = Array.from({ length: Number(values.seeds) }, (_, index) => index + 1);
  const times = seeds.map((seed) => lose(siteFor(seed, trouble)));
  allTimes.push(...times);
  show(JSON.stringify(trouble), times);
}
show(`all, catch up ${catchUpMs} ms${values.wiped ? ', wiped' : ''}`, allTimes);
