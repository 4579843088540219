import test from 'ava';
import { validResponse, startScriptedOrigin } from './testing/scripted-origin.js';
import { originEndpoint, policyOf, RawClient, startHarness } from './testing/proxy-harness.js';

test('a body up to the configured limit on clients is accepted if its route sets no limit', async (t) => {
  const origin = await startScriptedOrigin((request, socket) => {
    socket.write(validResponse(request));
  });
  const policy = { revision: 1, document: policyOf({ bodyBytes: 5_000_000 }) };
  const harness = await startHarness({ policy, origins: [originEndpoint(origin.port)] });
  t.teardown(async () => {
    harness.close();
    await origin.close();
  });
  const client = await RawClient.connect(harness.port);
  client.send('POST', '/order/1', 'r1', 'x'.repeat(2_000_000));
  await client.waitForResponses(1);
  t.is(client.responses()[0]?.status, 200);
});
