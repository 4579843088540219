/** Fits the costs of hollow runs of several sizes. */
import { readdirSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { errorMessage } from '@reedyard/logging';
import { HollowError } from './hollow-host.js';
import type { HollowResult } from './hollow.js';

/** A run of a hollow fleet as it is kept in a file. */
export type StoredRun = HollowResult & { readonly command: string };
/** How one figure moves with one thing that was moved alone. */
export type Slope = {
  readonly figure: string;
  readonly points: readonly (readonly [x: number, y: number])[];
  /** y = base + each · x by least squares, and how much of the points' spread that explains. */
  readonly base: number;
  readonly each: number;
  readonly fit: number;
  /** Power of x between the last two points; null where one of them is zero. */
  readonly power: number | null;
};

/**
 * The straight line nearest to some points, and the power between the last two.
 *
 * @example
 * slopeOf('bytes', [[1, 3], [2, 5], [3, 7]]) // base 1, each 2, fit 1
 */
export const fitSlope = (figure: string, points: Slope['points']): Slope => {
  const mean = (list: readonly number[]): number =>
    list.reduce((sum, each) => sum + each, 0) / list.length;
  const [mx, my] = [mean(points.map(([x]) => x)), mean(points.map(([, y]) => y))];
  const sxx = points.reduce((sum, [x]) => sum + (x - mx) ** 2, 0);
  const syy = points.reduce((sum, [, y]) => sum + (y - my) ** 2, 0);
  const sxy = points.reduce((sum, [x, y]) => sum + (x - mx) * (y - my), 0);
  const each = sxx === 0 ? 0 : sxy / sxx;
  const [[x1, y1], [x2, y2]] = [points.at(-2) ?? [0, 0], points.at(-1) ?? [0, 0]];
  return {
    figure,
    points,
    base: my - each * mx,
    each,
    fit: syy === 0 || sxx === 0 ? 1 : sxy ** 2 / (sxx * syy),
    power: y1 > 0 && y2 > 0 && x1 > 0 && x2 > x1 ? Math.log(y2 / y1) / Math.log(x2 / x1) : null,
  };
};

/**
 * All figures of one run, by name: `role kind field`, `role all field`, `part process field`,
 * `times what field`.
 */
export const figuresOf = (run: HollowResult): Readonly<Record<string, number>> =>
  Object.fromEntries([
    ...Object.entries(run.roles).flatMap(([role, each]) => [
      ...(['callsOut', 'callsIn', 'bytesOut', 'bytesIn', 'reducerMs'] as const).map(
        (field) => [`${role} all ${field}`, each[field]] as const,
      ),
      ...Object.entries(each.byKind).flatMap(([kind, sum]) =>
        Object.entries(sum).map(([field, value]) => [`${role} ${kind} ${field}`, value] as const),
      ),
      ...Object.entries(each.byEvent).map(
        ([event, sum]) => [`${role} ${event} reducerMs`, sum.ms] as const,
      ),
    ]),
    ...[...new Set(run.processes.map(({ part }) => part.replace(/-\d+$/, '')))].flatMap((part) => {
      const all = run.processes.filter((each) => each.part.replace(/-\d+$/, '') === part);
      const nodes = Math.max(
        1,
        all.reduce((sum, each) => sum + each.nodes, 0),
      );
      return [
        [
          `${part} process cpuMs`,
          all.reduce((sum, each) => sum + each.cpuMs - each.floorCpuMs, 0) / nodes,
        ],
        [
          `${part} process heap`,
          all.reduce((sum, each) => sum + each.heap - each.floorHeap, 0) / nodes,
        ],
      ] as const;
    }),
    ...Object.entries(run.times).flatMap(([what, spread]) =>
      (['median', 'p99', 'most'] as const).flatMap((field) =>
        spread.nodes > 0 ? [[`times ${what} ${field}`, spread[field]] as const] : [],
      ),
    ),
    ...Object.entries(run.stateBytes).flatMap(([role, fields]) =>
      Object.entries(fields).map(([field, bytes]) => [`${role} state ${field}`, bytes] as const),
    ),
  ]);

/** What was moved in runs named `THING-VALUE.json`. */
const things = [
  'nodes',
  'vectors',
  'objects',
  'origins',
  'services',
  'routes',
  'purges',
  'replicas',
] as const;
const valueOf = (thing: string, run: HollowResult): number =>
  thing === 'vectors'
    ? run.options.nodes
    : run.options[thing as Exclude<(typeof things)[number], 'vectors'>];

const colours = [
  '#1b6ca8',
  '#c0392b',
  '#218c5c',
  '#8e44ad',
  '#b9770e',
  '#34495e',
  '#d35485',
  '#5d6d00',
];

/** A plot over the number of nodes, both scales by powers of ten; a broken line is a limit. */
const plot = (
  title: string,
  lines: readonly {
    readonly name: string;
    readonly points: readonly (readonly [number, number])[];
  }[],
  limit: { readonly name: string; readonly y: number },
): string => {
  const shown = lines
    .map((line) => ({ ...line, points: line.points.filter(([, y]) => y > 0) }))
    .filter(({ points }) => points.length > 0);
  const xs = shown.flatMap(({ points }) => points.map(([x]) => x));
  const ys = [...shown.flatMap(({ points }) => points.map(([, y]) => y)), limit.y];
  const [x0, x1] = [Math.log10(Math.min(...xs)), Math.log10(Math.max(...xs))];
  const [y0, y1] = [
    Math.floor(Math.log10(Math.min(...ys))),
    Math.ceil(Math.log10(Math.max(...ys))),
  ];
  const px = (x: number): number =>
    Math.round(70 + (420 * (Math.log10(x) - x0)) / Math.max(1e-9, x1 - x0));
  const py = (y: number): number =>
    Math.round(330 - (290 * (Math.log10(y) - y0)) / Math.max(1, y1 - y0));
  const ticks = Array.from({ length: y1 - y0 + 1 }, (_, index) => 10 ** (y0 + index));
  return [
    '<svg xmlns="http://www.w3.org/2000/svg" width="720" height="370" font-family="sans-serif" font-size="12"><rect width="720" height="370" fill="#fff"/>',
    `<text x="70" y="22" font-size="14">${title}</text>`,
    ...ticks.map(
      (y) =>
        `<path d="M70 ${py(y)}H490" stroke="#ddd"/><text x="62" y="${py(y) + 4}" text-anchor="end">${y >= 1 ? y.toLocaleString('en') : y}</text>`,
    ),
    ...[...new Set(xs)]
      .sort((a, b) => a - b)
      .map((x) => `<text x="${px(x)}" y="348" text-anchor="middle">${x}</text>`),
    '<text x="280" y="364" text-anchor="middle">nodes</text>',
    `<path d="M70 ${py(limit.y)}H490" stroke="#000" stroke-dasharray="5 4"/><text x="500" y="${py(limit.y) + 4}">${limit.name}</text>`,
    ...shown.map(
      ({ points }, index) =>
        `<path d="${points.map(([x, y], at) => `${at === 0 ? 'M' : 'L'}${px(x)} ${py(y)}`).join('')}" fill="none" stroke="${colours[index % colours.length]}" stroke-width="2"/>${points.map(([x, y]) => `<circle cx="${px(x)}" cy="${py(y)}" r="3" fill="${colours[index % colours.length]}"/>`).join('')}`,
    ),
    ...shown.map(
      ({ name }, index) =>
        `<text x="500" y="${50 + 16 * index}" fill="${colours[index % colours.length]}">${name}</text>`,
    ),
    '</svg>',
    '',
  ].join('\n');
};

/**
 * Reads the runs of a folder, fits every figure, writes slopes.json and a plot for each role. Exit
 * codes: 0 done, 2 the words.
 */
export const runSlopesCommand = (folder: string | undefined): number => {
  try {
    if (folder === undefined)
      throw new HollowError('usage', 'found no folder; wanted: testbed slopes FOLDER');
    const names = readdirSync(folder).filter((name) => /^[a-z]+-[\d.]+\.json$/.test(name));
    if (names.length === 0)
      throw new HollowError(
        'usage',
        `${folder}: found no runs; wanted files such as nodes-16.json`,
      );
    const runs = names.map((name) => ({
      thing: name.split('-', 1)[0] ?? '',
      run: JSON.parse(readFileSync(path.join(folder, name), 'utf8')) as StoredRun,
    }));
    const series = Object.fromEntries(
      things.flatMap((thing) => {
        const own = runs
          .filter((each) => each.thing === thing)
          .sort((a, b) => valueOf(thing, a.run) - valueOf(thing, b.run));
        if (own.length < 2) return [];
        const all = own.map(({ run }) => [valueOf(thing, run), figuresOf(run)] as const);
        const figures = [...new Set(all.flatMap(([, each]) => Object.keys(each)))].sort();
        // What is in none of a run's figures was not sent there.
        return [
          [
            thing,
            figures.map((figure) =>
              fitSlope(
                figure,
                all.map(([x, each]) => [x, each[figure] ?? 0] as const),
              ),
            ),
          ],
        ];
      }),
    ) as Readonly<Record<string, readonly Slope[]>>;
    const rounded = (value: unknown): unknown =>
      typeof value === 'number' && !Number.isInteger(value) ? Number(value.toPrecision(5)) : value;
    const kept = (each: Slope): boolean => each.points.some(([, y]) => y !== 0);
    writeFileSync(
      path.join(folder, 'slopes.json'),
      `{\n${Object.entries(series)
        .map(
          ([thing, list]) =>
            `"${thing}": [\n${list
              .filter(kept)
              .map((each) => JSON.stringify(each, (_, value: unknown) => rounded(value)))
              .join(',\n')}\n]`,
        )
        .join(',\n')}\n}\n`,
    );
    for (const role of ['replica', 'holder', 'seed', 'agent', 'proxy']) {
      const own = (series['nodes'] ?? []).filter(
        ({ figure }) =>
          figure.startsWith(`${role} `) &&
          figure.endsWith(' bytesOut') &&
          !figure.includes(' all '),
      );
      const total = own
        .map(
          (
            out,
          ): { readonly name: string; readonly points: readonly (readonly [number, number])[] } => {
            const into = (series['nodes'] ?? []).find(
              ({ figure }) => figure === out.figure.replace('bytesOut', 'bytesIn'),
            );
            return {
              name: out.figure.split(' ')[1] ?? '',
              points: out.points.map(
                ([x, y], index) => [x, y + (into?.points[index]?.[1] ?? 0)] as const,
              ),
            };
          },
        )
        .sort((a, b) => (b.points.at(-1)?.[1] ?? 0) - (a.points.at(-1)?.[1] ?? 0))
        .slice(0, 7);
      if (total.length > 0)
        writeFileSync(
          path.join(folder, `${role}.svg`),
          plot(`${role}: bytes a second, in and out, by kind of call`, total, {
            name: role === 'proxy' ? '10 KB/s (its calls stay on its machine)' : '10 KB/s',
            y: 10_000,
          }),
        );
    }
    for (const [thing, list] of Object.entries(series))
      process.stdout.write(
        `${thing}: ${list.filter(kept).length} figures over ${list[0]?.points.map(([x]) => x).join(', ') ?? ''}\n`,
      );
    return 0;
  } catch (thrown) {
    process.stderr.write(`${errorMessage(thrown)}\n`);
    return 2;
  }
};
