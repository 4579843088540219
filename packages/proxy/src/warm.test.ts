import test from 'ava';
import { SettingsReader } from '@reedyard/settings';
import { type WireFormat, reedyardWireFormat } from './wire-format.js';
import type { ProxySettings } from './proxy-host.js';
import { warmUp, warmUpConcurrency, warmUpRequests } from './warm.js';

const settings = SettingsReader.check(
  {
    name: 'a',
    host: '127.0.0.1',
    zone: 'h',
    region: 'r',
    seeds: ['127.0.0.1:1'],
    founders: { c: '127.0.0.1:2' },
    agent: { port: 0, apiPort: 0, feedPort: 0 },
    proxy: { port: 0, peerPort: 0, capacityBps: 1e8 },
  },
  'test',
) as ProxySettings;
/** A dialect in which an answer is sound once it carries the request's own number. */
const numbered: WireFormat = {
  ...reedyardWireFormat,
  identity: 'named',
  originRequestFields: () => ({}),
  readOriginResponse: (_status, headers, { headers: asked }) => ({
    mismatch: headers.number === asked.number ? null : 'foreign',
    notRun: false,
    isMisdirected: false,
    load: null,
    coldMs: null,
  }),
  sample: {
    asked: (number) => ({ number: String(number) }),
    answered: (asked) => ({ number: String(asked.number) }),
  },
};

test('warming up serves what it plays, ends once callers come, and is not done where the dialect has no sample', async (t) => {
  const whole = await warmUp(numbered, settings, () => false);
  t.true(whole.played > 0 && whole.played <= warmUpRequests + warmUpConcurrency);
  t.is(whole.served, whole.played);
  let asked = 0;
  const cut = await warmUp(numbered, settings, () => {
    asked += 1;
    return asked > 10;
  });
  t.true(cut.played <= 10 && cut.served === cut.played);
  t.deepEqual(await warmUp(reedyardWireFormat, settings, () => false), { played: 0, served: 0 });
});
