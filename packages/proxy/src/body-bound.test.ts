import test from 'ava';
import { soundAnswer, startScriptedOrigin } from './testing/scripted-origin.js';
import { originRow, policyOf, RawCaller, startHarness } from './testing/proxy-harness.js';

test("a body up to the config's bound on callers is taken where its route sets none", async (t) => {
  const origin = await startScriptedOrigin((request, socket) => {
    socket.write(soundAnswer(request));
  });
  const policy = { revision: 1, document: policyOf({ bodyBytes: 5_000_000 }) };
  const harness = await startHarness({ policy, origins: [originRow(origin.port)] });
  t.teardown(async () => {
    harness.close();
    await origin.close();
  });
  const caller = await RawCaller.connect(harness.port);
  caller.send('POST', '/order/1', 'r1', 'x'.repeat(2_000_000));
  await caller.first(1);
  t.is(caller.answers()[0]?.status, 200);
});
