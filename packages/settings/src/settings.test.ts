import test from 'ava';
import { mkdtempSync, writeFileSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { SettingsReader, SettingsError } from './index.js';

const good = {
  name: 'core-1',
  host: '10.0.0.1',
  zone: 'west',
  region: 'home',
  seeds: ['10.0.0.1:7001'],
  founders: { 'core-1': '10.0.0.1:7101' },
  agent: { port: 7001, apiPort: 7080, feedPort: 7002 },
  replica: { port: 7101 },
};
const fault = (raw: unknown): string => {
  const error = (() => {
    try {
      SettingsReader.check(raw, 'core-1.json');
      return null;
    } catch (thrown) {
      return thrown;
    }
  })();
  return error instanceof SettingsError ? error.message : 'none';
};

test('good settings are taken, with their defaults', (t) => {
  t.is(SettingsReader.check(good, 'x').dataFolder, 'data');
  t.is(fault(good), 'none');
});

test('a fault names the file, the field, what was found and what is wanted', (t) => {
  t.regex(
    fault({ ...good, host: 'localhost' }),
    /core-1\.json: host: found "localhost"; wanted an IP number/,
  );
  t.regex(
    fault({ ...good, name: 'Core 1' }),
    /name: found "Core 1"; wanted a name of small letters/,
  );
  t.regex(fault({ ...good, seeds: ['10.0.0.1'] }), /seeds\.0: found "10\.0\.0\.1"; wanted IP:PORT/);
  t.regex(fault({ ...good, agent: { ...good.agent, port: 70_000 } }), /agent\.port: found 70000/);
  t.regex(fault({ ...good, typo: 1 }), /typo/);
  t.regex(
    fault({ ...good, founders: { other: '10.0.0.2:7101' } }),
    /wanted the founders to name core-1/,
  );
  t.regex(fault({}), /zone: found nothing/);
});

test('members may found themselves from seeds, instead of founders that the settings name', (t) => {
  const { founders: _founders, ...rest } = good;
  const voting = {
    losses: 1,
    firstStart: false,
    seeds: ['10.0.0.1:7101', '10.0.0.2:7101', '10.0.0.3:7101'],
  };
  t.deepEqual(SettingsReader.check({ ...rest, voting }, 'x').voting, voting);
  const told = { ...voting, catchUpMs: 4_000 };
  t.deepEqual(SettingsReader.check({ ...rest, voting: told }, 'x').voting, told);
  t.regex(fault({ ...rest, voting: { ...voting, catchUpMs: -1 } }), /voting.catchUpMs: found -1/);
  t.regex(
    fault(rest),
    /core-1.json: founders: found nothing; wanted the founders, or voting instead/,
  );
  t.regex(fault({ ...good, voting }), /wanted either founders or voting, not both/);
  t.regex(
    fault({ ...rest, voting: { ...voting, firstStart: undefined } }),
    /voting.firstStart: found nothing/,
  );
  t.regex(
    fault({ ...rest, voting: { ...voting, losses: 1.5 } }),
    /voting.losses: found 1.5; wanted a whole number/,
  );
  t.regex(
    fault({ ...rest, voting: { ...voting, seeds: [] } }),
    /voting.seeds: found \[\]; wanted at least one seed/,
  );
  t.regex(
    fault({ ...rest, voting: { ...voting, seeds: ['10.0.0.1:7101', '10.0.0.1:7101'] } }),
    /wanted each seed once/,
  );
  t.regex(fault({ ...rest, voting: { ...voting, seeds: ['core-1:7101'] } }), /wanted IP:PORT/);
});

test('flags lie over the file', (t) => {
  const file = path.join(mkdtempSync(path.join(os.tmpdir(), 'settings-')), 'core-1.json');
  writeFileSync(file, JSON.stringify(good));
  const read = SettingsReader.read(file, ['agent.port=8001', 'zone=north']);
  t.is(read.agent.port, 8_001);
  t.is(read.zone, 'north');
  t.is(read.agent.apiPort, 7_080);
  t.throws(() => SettingsReader.read('/nowhere.json', []), {
    instanceOf: SettingsError,
    message: /nowhere\.json: \(whole file\)/,
  });
  t.throws(() => SettingsReader.read(file, ['nonsense']), { instanceOf: SettingsError });
});
