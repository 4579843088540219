import test from 'ava';
import { OverloadedProxy } from '../testing/overload.js';

// Guards against requests sent ahead, whose answers are not read, ending the process.
test.serial('requests sent ahead at paths without a route, their answers unread', async (t) => {
  t.timeout(120_000);
  const proxy = await OverloadedProxy.start(t);
  const request = 'GET /nowhere HTTP/1.1\r\nhost: a.example\r\n\r\n';
  const requests = Buffer.from(request.repeat(20_000));
  await Promise.all(Array.from({ length: 60 }, () => proxy.flood([requests])));
  await proxy.check(t);
});
