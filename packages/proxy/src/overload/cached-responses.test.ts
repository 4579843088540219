import test from 'ava';
import { OverloadedProxy } from '../testing/overload.js';

// Guards against copies of responses taking more memory than the machine has, with ordinary clients.
test.serial(
  'responses that are cached, together larger than the memory of the machine',
  async (t) => {
    t.timeout(120_000);
    const proxy = await OverloadedProxy.start(t);
    const bodyBytes = 1_800_000;
    for (let object = 0; object < 250; object += 1)
      await proxy.serve('GET', `/kept/${object}?bytes=${bodyBytes}`);
    await proxy.check(t);
  },
);
