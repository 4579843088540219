import test from 'ava';
import { bodyChunks, bodyHead, maxBodyBytes, OverloadedProxy } from '../testing/overload.js';

const timeoutMs = 120_000;

// Guards against bodies that stop short of their end taking the place of all others.
test.serial('large bodies with a length that stop just short of their end', async (t) => {
  t.timeout(timeoutMs);
  const proxy = await OverloadedProxy.start(t);
  const head = bodyHead('/order/flood', `content-length: ${maxBodyBytes}\r\n`);
  const body = Buffer.alloc(maxBodyBytes - 100, 'x');
  await Promise.all(Array.from({ length: 40 }, () => proxy.flood([head, body])));
  await proxy.check(t);
});

// Guards against bodies that stop holding all memory, so that others are refused until they time out.
test.serial('bodies of all sizes that fill the memory and stop short of their end', async (t) => {
  t.timeout(timeoutMs);
  const proxy = await OverloadedProxy.start(t);
  for (const bodyBytes of [maxBodyBytes, 1_000_000, 100_000, 10_000, 1_000, 2]) {
    const head = bodyHead('/order/flood', `content-length: ${bodyBytes}\r\n`);
    const body = Buffer.alloc(Math.floor(0.99 * bodyBytes), 'x');
    await Promise.all(Array.from({ length: 20 }, () => proxy.flood([head, body])));
  }
  await proxy.check(t);
});

// Guards against a body in large chunks being held in more memory than its bytes.
test.serial('large bodies in large chunks that stop just short of their end', async (t) => {
  t.timeout(timeoutMs);
  const proxy = await OverloadedProxy.start(t);
  const head = bodyHead('/order/flood', 'transfer-encoding: chunked\r\n');
  const body = bodyChunks(maxBodyBytes - 64 * 1024, 64 * 1024);
  await Promise.all(Array.from({ length: 40 }, () => proxy.flood([head, body])));
  await proxy.check(t);
});

// Guards against chunks of one byte, each held as a buffer of its own, ending the process.
test.serial('bodies in very small chunks that stop just short of their end', async (t) => {
  t.timeout(timeoutMs);
  const proxy = await OverloadedProxy.start(t);
  const head = bodyHead('/order/flood', 'transfer-encoding: chunked\r\n');
  const body = bodyChunks(400_000, 1);
  await Promise.all(Array.from({ length: 20 }, () => proxy.flood([head, body])));
  await proxy.check(t);
});
