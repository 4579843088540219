import { type AgentState, type NodeIdentity, openAgent, reduceAgent } from '@reedyard/agent';
import { computeRoutes, type LoadVector } from '@reedyard/server-selection';

/**
 * Measures the parts of an agent that are too expensive to run on every node of a hollow fleet of
 * the target size: one computation of the routing table, and one round of pings with its replies.
 * Prints processor milliseconds as JSON.
 *
 * Usage: `node packages/testbed/dist/part-costs.js > docs/capacity/parts.json`
 */

/** Processor time that a synchronous function uses, in milliseconds. */
const measureCpuMs = (run: () => void): number => {
  const usageBefore = process.cpuUsage();
  run();
  const usage = process.cpuUsage(usageBefore);
  return (usage.user + usage.system) / 1_000;
};
const vectorsOf = (edges: number, objects: number): Readonly<Record<string, LoadVector>> =>
  Object.fromEntries(
    Array.from({ length: edges }, (_, edge) => {
      const demand = Object.fromEntries(
        Array.from({ length: objects }, (__, object) => [
          `route-${object}`,
          100_000 + 20_000 * ((edge * 7 + object * 13) % 10),
        ]),
      );
      return [
        `front-${edge}`,
        {
          demand,
          copies: Object.keys(demand).slice(0, objects / 2),
          capacity: 1e9,
          utilisation: 0.1,
          offered: 0.1,
          meanReply: 96_000,
          fetchDelay: 0.02,
          delays: Object.fromEntries(
            Array.from({ length: edges }, (__, other) => [
              `front-${other}`,
              0.001 * (1 + ((edge + other) % 5)),
            ]),
          ),
        } satisfies LoadVector,
      ] as const;
    }),
  );

const split = [4, 16].flatMap((objects) =>
  [16, 32, 64, 128, 256].map((edges) => {
    const vectors = vectorsOf(edges, objects);
    const compute = (): void => {
      computeRoutes('front-0', vectors, () => ({ servers: () => true }));
    };
    compute();
    return {
      objects,
      edges,
      cpuMs: measureCpuMs(compute),
      vectorBytes: JSON.stringify(vectors['front-0']).length,
    };
  }),
);

const frontIdentity = (index: number): NodeIdentity => ({
  id: `front-${index}`,
  zone: 'zone-1',
  region: 'region-1',
  address: `10.0.${Math.floor(index / 250)}.${index % 250}:7001`,
  proxy: { callers: '10.0.0.1:8080', peers: '10.0.0.1:8081', capacityBps: 1e9 },
  replica: null,
});

/**
 * Cost of a round of pings of an agent that knows this many nodes. The second round is measured,
 * because the first one also includes just-in-time compilation.
 */
const pings = [64, 128, 256, 512, 1_100].map((nodes) => {
  const tellings = Object.fromEntries(
    Array.from({ length: nodes }, (_, index) => [
      `node/front-${index + 1}`,
      {
        revision: 1,
        value: {
          ...frontIdentity(index + 1),
          ready: true,
          staying: true,
          proxyLife: '',
          wants: {},
        },
      },
    ]),
  );
  let state: AgentState = openAgent({
    self: frontIdentity(0),
    incarnation: '',
    seeds: [],
    founders: {},
    randomSeed: 1,
    now: 0,
  });
  state = reduceAgent(state, {
    kind: 'agent-request-received',
    requestId: 0,
    request: { kind: 'push', tellings },
    now: 0,
  }).state;
  const runPingRound = (
    now: number,
  ): { readonly calls: number; readonly beatMs: number; readonly answersMs: number } => {
    let requestIds: readonly number[] = [];
    const beatMs = measureCpuMs(() => {
      const step = reduceAgent(state, { kind: 'tick', now });
      state = step.state;
      requestIds = step.effects.flatMap((effect) =>
        effect.kind === 'send-request' && effect.path === '/agent' && effect.request.kind === 'ping'
          ? [effect.requestId]
          : [],
      );
    });
    const answersMs = measureCpuMs(() => {
      for (const id of requestIds)
        state = reduceAgent(state, {
          kind: 'reply-received',
          requestId: id,
          reply: { kind: 'ok' },
          now: now + 1,
        }).state;
    });
    return { calls: requestIds.length, beatMs, answersMs };
  };
  runPingRound(50);
  return { nodes, ...runPingRound(3_000) };
});
process.stdout.write(
  `${JSON.stringify({ command: 'node packages/testbed/dist/part-costs.js', split, pings }, null, 1)}\n`,
);
