import { splitFor, type Vector } from '@reedyard/plumb';

/**
 * What one edge's split costs, over edges and objects: ms of a core for one computation, told as JSON.
 * `node packages/workbench/dist/split-cost.js > docs/capacity/split.json`
 */
const vectorsOf = (edges: number, objects: number): Readonly<Record<string, Vector>> => Object.fromEntries(Array.from({ length: edges }, (_, edge) => {
  const demand = Object.fromEntries(Array.from({ length: objects }, (__, object) => [`route-${object}`, 100_000 + 20_000 * ((edge * 7 + object * 13) % 10)]));
  return [`front-${edge}`, {
    demand, copies: Object.keys(demand).slice(0, objects / 2), capacity: 1e9, utilisation: 0.1, offered: 0.1, meanReply: 96_000, fetchDelay: 0.02,
    delays: Object.fromEntries(Array.from({ length: edges }, (__, other) => [`front-${other}`, 0.001 * (1 + ((edge + other) % 5))])),
  } satisfies Vector] as const;
}));

const rows = [4, 16].flatMap((objects) => [16, 32, 64, 128, 256].map((edges) => {
  const vectors = vectorsOf(edges, objects);
  const compute = (): void => { splitFor('front-0', vectors, () => ({ servers: () => true })); };
  compute();
  const from = process.cpuUsage();
  compute();
  const used = process.cpuUsage(from);
  return { objects, edges, cpuMs: (used.user + used.system) / 1_000, vectorBytes: JSON.stringify(vectors['front-0']).length };
}));
process.stdout.write(`${JSON.stringify({ command: 'node packages/workbench/dist/split-cost.js', rows }, null, 1)}\n`);
