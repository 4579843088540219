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
/** A wire format in which a response is valid if it carries the number of its request. */
const numberedWireFormat: WireFormat = {
  ...reedyardWireFormat,
  identity: 'named',
  originRequestFields: () => ({}),
  readOriginResponse: (_status, headers, { headers: requestHeaders }) => ({
    mismatch: headers.number === requestHeaders.number ? null : 'foreign',
    notRun: false,
    isMisdirected: false,
    load: null,
    coldMs: null,
  }),
  sample: {
    asked: (number) => ({ number: String(number) }),
    answered: (requestHeaders) => ({ number: String(requestHeaders.number) }),
  },
};

test('the warm-up serves all requests that it sends, ends early on demand, and is skipped without a sample in the wire format', async (t) => {
  const complete = await warmUp(numberedWireFormat, settings, () => false);
  t.true(complete.played > 0 && complete.played <= warmUpRequests + warmUpConcurrency);
  t.is(complete.served, complete.played);
  let calls = 0;
  const interrupted = await warmUp(numberedWireFormat, settings, () => {
    calls += 1;
    return calls > 10;
  });
  t.true(interrupted.played <= 10 && interrupted.served === interrupted.played);
  t.deepEqual(await warmUp(reedyardWireFormat, settings, () => false), { played: 0, served: 0 });
});
