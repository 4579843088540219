import test from 'ava';
import { mkdtempSync, writeFileSync } from 'node:fs';
import os from 'node:os';
import path from 'node:path';
import { SettingsReader, SettingsError } from './index.js';

const validSettings = {
  name: 'core-1',
  host: '10.0.0.1',
  zone: 'west',
  region: 'home',
  seeds: ['10.0.0.1:7001'],
  founders: { 'core-1': '10.0.0.1:7101' },
  agent: { port: 7001, apiPort: 7080, feedPort: 7002 },
  replica: { port: 7101 },
};
const faultOf = (raw: unknown): string => {
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

test('valid settings are accepted, and defaults are filled in', (t) => {
  t.is(SettingsReader.check(validSettings, 'x').dataFolder, 'data');
  t.is(faultOf(validSettings), 'none');
});

test('a fault states the file, the field, the value found and what is expected', (t) => {
  t.regex(
    faultOf({ ...validSettings, host: 'localhost' }),
    /core-1\.json: host: found "localhost"; expected an IP address/,
  );
  t.regex(
    faultOf({ ...validSettings, name: 'Core 1' }),
    /name: found "Core 1"; expected a name of lower-case letters/,
  );
  t.regex(
    faultOf({ ...validSettings, seeds: ['10.0.0.1'] }),
    /seeds\.0: found "10\.0\.0\.1"; expected IP:PORT/,
  );
  t.regex(
    faultOf({ ...validSettings, agent: { ...validSettings.agent, port: 70_000 } }),
    /agent\.port: found 70000/,
  );
  t.regex(faultOf({ ...validSettings, typo: 1 }), /typo/);
  t.regex(
    faultOf({ ...validSettings, founders: { other: '10.0.0.2:7101' } }),
    /expected core-1 among the founders/,
  );
  t.regex(faultOf({}), /zone: found nothing/);
});

test('the settings may state seeds that found the membership instead of founders', (t) => {
  const { founders: _founders, ...rest } = validSettings;
  const voting = {
    losses: 1,
    firstStart: false,
    seeds: ['10.0.0.1:7101', '10.0.0.2:7101', '10.0.0.3:7101'],
  };
  t.deepEqual(SettingsReader.check({ ...rest, voting }, 'x').voting, voting);
  const withCatchUp = { ...voting, catchUpMs: 4_000 };
  t.deepEqual(SettingsReader.check({ ...rest, voting: withCatchUp }, 'x').voting, withCatchUp);
  t.regex(faultOf({ ...rest, voting: { ...voting, catchUpMs: -1 } }), /voting.catchUpMs: found -1/);
  t.regex(
    faultOf(rest),
    /core-1.json: founders: found nothing; expected the founders, or voting instead/,
  );
  t.regex(faultOf({ ...validSettings, voting }), /expected either founders or voting, not both/);
  t.regex(
    faultOf({ ...rest, voting: { ...voting, firstStart: undefined } }),
    /voting.firstStart: found nothing/,
  );
  t.regex(
    faultOf({ ...rest, voting: { ...voting, losses: 1.5 } }),
    /voting.losses: found 1.5; expected an integer/,
  );
  t.regex(
    faultOf({ ...rest, voting: { ...voting, seeds: [] } }),
    /voting.seeds: found \[\]; expected at least one seed/,
  );
  t.regex(
    faultOf({ ...rest, voting: { ...voting, seeds: ['10.0.0.1:7101', '10.0.0.1:7101'] } }),
    /expected each seed once/,
  );
  t.regex(faultOf({ ...rest, voting: { ...voting, seeds: ['core-1:7101'] } }), /expected IP:PORT/);
});

test('--set flags override fields of the file', (t) => {
  const file = path.join(mkdtempSync(path.join(os.tmpdir(), 'settings-')), 'core-1.json');
  writeFileSync(file, JSON.stringify(validSettings));
  const read = SettingsReader.read(file, ['agent.port=8001', 'zone=north']);
  t.is(read.agent.port, 8_001);
  t.is(read.zone, 'north');
  t.is(read.agent.apiPort, 7_080);
  t.throws(() => SettingsReader.read('/nowhere.json', []), {
    instanceOf: SettingsError,
    message: /nowhere\.json: \(entire file\)/,
  });
  t.throws(() => SettingsReader.read(file, ['nonsense']), { instanceOf: SettingsError });
});
