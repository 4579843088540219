/** The trial command: plays, judges and reports. */
import { existsSync, readFileSync } from 'node:fs';
import path from 'node:path';
import { scenarios } from '@reedyard/simulator';
import { errorMessage } from '@reedyard/logging';
import { Schemas } from '@reedyard/schemas';
import { TestbedError, type Deployment } from './index.js';
import { playTrial } from './trial.js';

type TrialFlags = {
  readonly scenario?: string | undefined;
  readonly seed?: string | undefined;
  readonly seconds?: string | undefined;
  readonly rate?: string | undefined;
  readonly folder?: string | undefined;
};

const numberOf = (name: string, text: string | undefined): number | undefined => {
  if (text === undefined) return undefined;
  if (!/^\d+(?:\.\d+)?$/.test(text) || Number(text) <= 0)
    throw new TestbedError('usage', `--${name}: found "${text}"; wanted a number over 0`);
  return Number(text);
};

/**
 * The command: checks its words, plays the trial, tells what was seen. Exit codes: 0 all rules
 * kept, 1 one broke, 2 the words.
 */
export const runTrialCommand = async (
  example: string | undefined,
  words: TrialFlags,
): Promise<number> => {
  const say = (text: string): void => {
    process.stdout.write(`${text}\n`);
  };
  try {
    const file = (name: string): string => path.join(example ?? '', name);
    if (example === undefined || !existsSync(file('deployment.json')))
      throw new TestbedError(
        'usage',
        `no example at ${example ?? '(nothing)'}; wanted a folder with deployment.json and policy.json`,
      );
    const scenario = words.scenario ?? '';
    if (scenarios[scenario] === undefined)
      throw new TestbedError(
        'usage',
        `no scenario is named "${scenario}"; there are ${Object.keys(scenarios).join(', ')}`,
      );
    const [seed = 1, seconds, rate] = [
      numberOf('seed', words.seed),
      numberOf('seconds', words.seconds),
      numberOf('rate', words.rate),
    ];
    const name = path.basename(path.resolve(example));
    const report = await playTrial({
      example: name,
      deployment: JSON.parse(readFileSync(file('deployment.json'), 'utf8')) as Deployment,
      policy: Schemas.policy(JSON.parse(readFileSync(file('policy.json'), 'utf8'))),
      scenario,
      seed,
      folder: words.folder ?? '.run',
      ...(seconds === undefined ? {} : { seconds }),
      ...(rate === undefined ? {} : { rate }),
    });
    for (const { at, what } of report.faults)
      say(`  fault at ${(at / 1_000).toFixed(3)} s: ${what}`);
    for (const text of report.refused) say(`  refused: ${text}`);
    say(
      `trial example=${name} scenario=${scenario} seed=${seed} asked=${report.asked} served=${(100 * report.share).toFixed(2)}% attempts-and-copies=${report.attempts} repeats=${report.repeats} rest=${JSON.stringify(
        Object.fromEntries(
          Object.entries(report.rest)
            .sort(([, a], [, b]) => b - a)
            .slice(0, 6),
        ),
      )} broken=${[...new Set(report.wrongs.map((violation) => violation.rule))].join(',') || 'none'}`,
    );
    for (const violation of report.wrongs)
      say(`  rule ${violation.rule} at ${(violation.at / 1_000).toFixed(3)} s: ${violation.what}`);
    say(
      `  replay: npm run -s testbed -- trial ${example} --scenario ${scenario} --seed ${seed}${seconds === undefined ? '' : ` --seconds ${seconds}`}${rate === undefined ? '' : ` --rate ${rate}`}`,
    );
    return report.wrongs.length === 0 ? 0 : 1;
  } catch (thrown) {
    process.stderr.write(`${errorMessage(thrown)}\n`);
    return 2;
  }
};
