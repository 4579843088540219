#!/usr/bin/env node
/** The testbed's command line. */
import { readFileSync } from 'node:fs';
import path from 'node:path';
import { createInterface } from 'node:readline';
import { parseArgs } from 'node:util';
import { startLoad, summarizeResults, type RequestKind } from '@reedyard/client-stand-in';
import { errorMessage } from '@reedyard/logging';
import { runHollowCommand } from './hollow.js';
import { api, Fleet, type Deployment, type Program } from './index.js';
import { runSlopesCommand } from './slopes.js';
import { runTrialCommand } from './trial-command.js';

const help = `testbed FOLDER [--rate N] [--folder RUN] [--no-policy] [--for SECONDS]
testbed trial FOLDER --scenario NAME [--seed N] [--seconds N] [--rate N] [--folder RUN]
testbed hollow --nodes N [...]
testbed slopes FOLDER

  trial            plays a scenario of the simulator on real processes and judges it by the same
                   checkers; exit code 1 if a rule broke. simulator --help names the scenarios

  hollow           counts what each role of a large fleet sends and does; hollow --help tells its flags
  slopes           fits the hollow runs kept in a folder (nodes-16.json, origins-70.json, ...): slopes.json and plots

  FOLDER           an example: deployment.json, policy.json, callers.json
  --rate N         callers' requests a second (none if left out)
  --folder RUN     where settings, data and logs go (.run)
  --no-policy      send no policy: do it yourself with reedyard policy put
  --for SECONDS    end by itself after so long

Commands on standard input:
  start|kill|stop NAME [agent|proxy|replica]     freeze|thaw NAME [agent|proxy|replica]
  cut NAME [both|in|out]     heal     wipe NAME (dead ones)
  origin INSTANCE {"slowMs":500,"lose":true,"garbage":true,"short":true,"leftover":true,"corrupt":true,"state":"cold","draining":true}
  rename INSTANCE {"service":"…","instance":"…","incarnation":2}
  report     nodes     quit
`;
if (process.argv[2] === 'hollow') process.exit(await runHollowCommand(process.argv.slice(3)));
if (process.argv[2] === 'slopes') process.exit(runSlopesCommand(process.argv[3]));
const { values, positionals } = parseArgs({
  allowPositionals: true,
  options: {
    rate: { type: 'string' },
    folder: { type: 'string', default: '.run' },
    'no-policy': { type: 'boolean', default: false },
    for: { type: 'string' },
    scenario: { type: 'string' },
    seed: { type: 'string', default: '1' },
    seconds: { type: 'string' },
    help: { type: 'boolean', default: false },
  },
});
if (positionals[0] === 'trial') process.exit(await runTrialCommand(positionals[1], values));
const example = positionals[0];
if (values.help || example === undefined) {
  process.stdout.write(help);
  process.exit(values.help ? 0 : 2);
}
const read = <T>(name: string): T =>
  JSON.parse(readFileSync(path.join(example, name), 'utf8')) as T;
const say = (text: string): void => {
  process.stdout.write(`${text}\n`);
};

/**
 * One kind of request in callers.json: a target with `#N` for a number under N, the low ones more
 * often.
 */
type CallerKind = {
  readonly weight: number;
  readonly method: string;
  readonly host: string;
  readonly target: string;
  readonly service: string;
  readonly key?: boolean;
};

const laid = await (async (): Promise<Fleet | string> => {
  try {
    return await Fleet.create(read<Deployment>('deployment.json'), values.folder, { relays: true });
  } catch (thrown) {
    return errorMessage(thrown);
  }
})();
if (typeof laid === 'string') {
  process.stderr.write(`${laid}\n`);
  process.exit(2);
}
const fleet = laid;
let over = false;
const end = async (code: number): Promise<void> => {
  if (over) return;
  over = true;
  await fleet.stopAll();
  process.exit(code);
};
process.on('SIGINT', () => void end(0));
process.on('SIGTERM', () => void end(0));

try {
  fleet.startAll();
  await fleet.startOrigins();
  say(
    `started: ${fleet.names().length} machines, ${fleet.originStandIns.size} origins; settings and logs in ${values.folder}`,
  );
  const front = fleet.names('front')[0] ?? '';
  if (!values['no-policy']) {
    await fleet.waitUntil(
      'the policy',
      async () =>
        (await api(fleet.apiAddressOf(front), 'PUT', '/v1/policy', read('policy.json'))).status ===
        200,
    );
    await fleet.waitUntilReady();
    say('the policy is in force and every front is ready');
  }
  for (const name of fleet.names())
    say(
      `  ${name.padEnd(10)} api ${fleet.apiAddressOf(name)}${fleet.names('front').includes(name) ? `  callers ${fleet.clientAddressOf(name)}` : ''}`,
    );
} catch (thrown) {
  process.stderr.write(`${errorMessage(thrown)}\n`);
  await end(1);
}

const ready = new Map<string, boolean>();
const watch = setInterval(() => {
  for (const name of fleet.names('front')) {
    api(fleet.clientAddressOf(name), 'GET', '/.well-known/reedyard/ready').then(
      (answer) => ready.set(name, answer.status === 200),
      () => ready.set(name, false),
    );
  }
}, 250);
const kinds = (): readonly RequestKind[] =>
  read<readonly CallerKind[]>('callers.json').map((kind) => ({
    weight: kind.weight,
    createRequest: (chance) => ({
      method: kind.method,
      host: kind.host,
      service: kind.service,
      target: kind.target.replace(/#(\d+)/g, (_, most: string) =>
        String(Math.floor(Number(most) * chance() ** 2.5)),
      ),
      ...(kind.key === true ? { key: `key-${Math.floor(chance() * 1e15)}` } : {}),
    }),
  }));
const load =
  values.rate === undefined
    ? null
    : startLoad({
        rate: Number(values.rate),
        kinds: kinds(),
        random: Math.random,
        chooseAddress: () => {
          const up = fleet.names('front').filter((name) => ready.get(name) === true);
          const one = up[Math.floor(Math.random() * up.length)];
          return one === undefined ? undefined : fleet.clientAddressOf(one);
        },
      });
const report = async (): Promise<void> => {
  if (load !== null) {
    const felt = summarizeResults(load.results);
    say(
      `callers: ${felt.all} answers, by status ${JSON.stringify(felt.countByStatus)}, served by ${JSON.stringify(felt.served)}, faults ${felt.faults.length}${felt.faults
        .slice(0, 3)
        .map((fault) => `\n  ${fault}`)
        .join('')}`,
    );
  }
  for (const name of fleet.names('front')) {
    const status = await api(fleet.apiAddressOf(name), 'GET', '/v1/status').then(
      (answer) =>
        answer.body as {
          policyRevision: number;
          proxy: Record<string, number>;
          notices: number;
          split: Record<string, readonly unknown[]>;
        },
      () => null,
    );
    if (status === null) {
      say(`  ${name.padEnd(10)} no answer`);
      continue;
    }
    const counter = (key: string): number => status.proxy?.[key] ?? 0;
    const away = Object.values(status.split).filter((row) =>
      row.some((pair) => (pair as [string, number])[0] !== name),
    ).length;
    say(
      `  ${name.padEnd(10)} revision ${status.policyRevision}  requests ${counter('requests')}  copies ${counter('served.copy')}  forwarded ${counter('forwarded')}  fetched ${counter('fetched')}  attempts ${counter('attempts')}  repeats ${counter('repeats')}  notices ${status.notices}  rows ${Object.keys(status.split).length} (${away} with peers)`,
    );
  }
};

const commands: Readonly<Record<string, (rest: readonly string[]) => unknown>> = {
  start: ([name = '', only]) => fleet.start(name, only as Program | undefined),
  kill: ([name = '', only]) => fleet.kill(name, only as Program | undefined),
  stop: ([name = '', only]) => fleet.stop(name, only as Program | undefined),
  freeze: ([name = '', only]) => fleet.freeze(name, only as Program | undefined),
  thaw: ([name = '', only]) => fleet.thaw(name, only as Program | undefined),
  cut: ([name = '', way]) => fleet.cut(name, way as 'both' | undefined),
  heal: () => fleet.heal(),
  wipe: ([name = '']) => fleet.wipe(name),
  origin: ([instance = '', ...mode]) =>
    fleet.originStandIns.get(instance)?.setMode(JSON.parse(mode.join(' ')) as object),
  rename: ([instance = '', ...identity]) =>
    fleet.originStandIns.get(instance)?.rename(JSON.parse(identity.join(' ')) as object),
  report,
  nodes: () =>
    say(
      [...fleet.names()]
        .map(
          (name) => `${name} ${fleet.apiAddressOf(name)} ready ${String(ready.get(name) ?? '-')}`,
        )
        .join('\n'),
    ),
  quit: () => end(0),
  help: () => say(help),
};
if (values.for !== undefined)
  setTimeout(
    () => {
      void (load === null ? Promise.resolve() : load.stop().then(() => undefined))
        .then(report)
        .then(() => {
          clearInterval(watch);
          return end(0);
        });
    },
    1_000 * Number(values.for),
  );
createInterface({ input: process.stdin }).on('line', (line) => {
  const [word = '', ...rest] = line.trim().split(/\s+/);
  if (word === '') return;
  const command = commands[word];
  if (command === undefined) {
    say(`no command is named ${word}; try help`);
    return;
  }
  Promise.resolve()
    .then(() => command(rest))
    .then(
      () => say(`done: ${line.trim()}`),
      (thrown: unknown) => say(errorMessage(thrown)),
    );
});
