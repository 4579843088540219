import test from 'ava';
import { validResponse, startScriptedOrigin } from './testing/scripted-origin.js';
import { originEndpoint, policyOf, RawClient, startHarness } from './testing/proxy-harness.js';

test("a body up to the config's bound on callers is taken where its route sets none", async (t) => {
  const origin = await startScriptedOrigin((request, socket) => {
    socket.write(validResponse(request));
  });
  const policy = { revision: 1, document: policyOf({ bodyBytes: 5_000_000 }) };
  const harness = await startHarness({ policy, origins: [originEndpoint(origin.port)] });
  t.teardown(async () => {
    harness.close();
    await origin.close();
  });
  const caller = await RawClient.connect(harness.port);
  caller.send('POST', '/order/1', 'r1', 'x'.repeat(2_000_000));
  await caller.waitForResponses(1);
  t.is(caller.responses()[0]?.status, 200);
});
