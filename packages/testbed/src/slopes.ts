/** Fits straight lines to the figures of hollow runs of several sizes. */
import { readdirSync, readFileSync, writeFileSync } from 'node:fs';
import path from 'node:path';
import { errorMessage } from '@reedyard/logging';
import { HollowError } from './hollow-host.js';
import type { HollowResult } from './hollow.js';

/** Result of a hollow run as stored in a JSON file. */
export type StoredRun = HollowResult & { readonly command: string };
/** How one figure depends on one option when all other options are constant. */
export type Slope = {
  readonly figure: string;
  readonly points: readonly (readonly [x: number, y: number])[];
  /** Intercept of the least-squares line y = base + each · x. */
  readonly base: number;
  /** Slope of that line. */
  readonly each: number;
  /** Coefficient of determination of that line, from 0 to 1. */
  readonly fit: number;
  /** Exponent of x between the last two points; null if a coordinate is zero or x does not grow. */
  readonly power: number | null;
};

/**
 * Fits a least-squares line to points and computes the exponent of x between the last two.
 *
 * @example
 * fitSlope('bytes', [[1, 3], [2, 5], [3, 7]]) // base 1, each 2, fit 1
 */
export const fitSlope = (figure: string, points: Slope['points']): Slope => {
  const mean = (values: readonly number[]): number =>
    values.reduce((sum, each) => sum + each, 0) / values.length;
  const [meanX, meanY] = [mean(points.map(([x]) => x)), mean(points.map(([, y]) => y))];
  const sumXX = points.reduce((sum, [x]) => sum + (x - meanX) ** 2, 0);
  const sumYY = points.reduce((sum, [, y]) => sum + (y - meanY) ** 2, 0);
  const sumXY = points.reduce((sum, [x, y]) => sum + (x - meanX) * (y - meanY), 0);
  const each = sumXX === 0 ? 0 : sumXY / sumXX;
  const [[x1, y1], [x2, y2]] = [points.at(-2) ?? [0, 0], points.at(-1) ?? [0, 0]];
  return {
    figure,
    points,
    base: meanY - each * meanX,
    each,
    fit: sumYY === 0 || sumXX === 0 ? 1 : sumXY ** 2 / (sumXX * sumYY),
    power: y1 > 0 && y2 > 0 && x1 > 0 && x2 > x1 ? Math.log(y2 / y1) / Math.log(x2 / x1) : null,
  };
};

/**
 * All figures of one run by name. The names are `role kind field`, `role all field`,
 * `role event reducerMs`, `part process field`, `times what field` and `role state field`.
 */
export const figuresOf = (run: HollowResult): Readonly<Record<string, number>> =>
  Object.fromEntries([
    ...Object.entries(run.roles).flatMap(([role, figures]) => [
      ...(['callsOut', 'callsIn', 'bytesOut', 'bytesIn', 'reducerMs'] as const).map(
        (field) => [`${role} all ${field}`, figures[field]] as const,
      ),
      ...Object.entries(figures.byKind).flatMap(([kind, sum]) =>
        Object.entries(sum).map(([field, value]) => [`${role} ${kind} ${field}`, value] as const),
      ),
      ...Object.entries(figures.byEvent).map(
        ([event, sum]) => [`${role} ${event} reducerMs`, sum.ms] as const,
      ),
    ]),
    ...[...new Set(run.processes.map(({ part }) => part.replace(/-\d+$/, '')))].flatMap((part) => {
      const processes = run.processes.filter((each) => each.part.replace(/-\d+$/, '') === part);
      const nodes = Math.max(
        1,
        processes.reduce((sum, each) => sum + each.nodes, 0),
      );
      return [
        [
          `${part} process cpuMs`,
          processes.reduce((sum, each) => sum + each.cpuMs - each.floorCpuMs, 0) / nodes,
        ],
        [
          `${part} process heap`,
          processes.reduce((sum, each) => sum + each.heap - each.floorHeap, 0) / nodes,
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

/** Options that vary between runs; a run is stored in the file `OPTION-VALUE.json`. */
const variedOptions = [
  'nodes',
  'vectors',
  'objects',
  'origins',
  'services',
  'routes',
  'purges',
  'replicas',
] as const;
const optionValueOf = (option: string, run: HollowResult): number =>
  option === 'vectors'
    ? run.options.nodes
    : run.options[option as Exclude<(typeof variedOptions)[number], 'vectors'>];

const colors = [
  '#1b6ca8',
  '#c0392b',
  '#218c5c',
  '#8e44ad',
  '#b9770e',
  '#34495e',
  '#d35485',
  '#5d6d00',
];

/**
 * Draws an SVG plot over the number of nodes, with logarithmic axes and a dashed line at a limit.
 */
const plot = (
  title: string,
  lines: readonly {
    readonly name: string;
    readonly points: readonly (readonly [number, number])[];
  }[],
  limit: { readonly name: string; readonly y: number },
): string => {
  const plottedLines = lines
    .map((line) => ({ ...line, points: line.points.filter(([, y]) => y > 0) }))
    .filter(({ points }) => points.length > 0);
  const xs = plottedLines.flatMap(({ points }) => points.map(([x]) => x));
  const ys = [...plottedLines.flatMap(({ points }) => points.map(([, y]) => y)), limit.y];
  const [minLogX, maxLogX] = [Math.log10(Math.min(...xs)), Math.log10(Math.max(...xs))];
  const [minLogY, maxLogY] = [
    Math.floor(Math.log10(Math.min(...ys))),
    Math.ceil(Math.log10(Math.max(...ys))),
  ];
  const pixelX = (x: number): number =>
    Math.round(70 + (420 * (Math.log10(x) - minLogX)) / Math.max(1e-9, maxLogX - minLogX));
  const pixelY = (y: number): number =>
    Math.round(330 - (290 * (Math.log10(y) - minLogY)) / Math.max(1, maxLogY - minLogY));
  const ticks = Array.from(
    { length: maxLogY - minLogY + 1 },
    (_, index) => 10 ** (minLogY + index),
  );
  return [
    '<svg xmlns="http://www.w3.org/2000/svg" width="720" height="370" font-family="sans-serif" font-size="12"><rect width="720" height="370" fill="#fff"/>',
    `<text x="70" y="22" font-size="14">${title}</text>`,
    ...ticks.map(
      (y) =>
        `<path d="M70 ${pixelY(y)}H490" stroke="#ddd"/><text x="62" y="${pixelY(y) + 4}" text-anchor="end">${y >= 1 ? y.toLocaleString('en') : y}</text>`,
    ),
    ...[...new Set(xs)]
      .sort((a, b) => a - b)
      .map((x) => `<text x="${pixelX(x)}" y="348" text-anchor="middle">${x}</text>`),
    '<text x="280" y="364" text-anchor="middle">nodes</text>',
    `<path d="M70 ${pixelY(limit.y)}H490" stroke="#000" stroke-dasharray="5 4"/><text x="500" y="${pixelY(limit.y) + 4}">${limit.name}</text>`,
    ...plottedLines.map(
      ({ points }, index) =>
        `<path d="${points.map(([x, y], index) => `${index === 0 ? 'M' : 'L'}${pixelX(x)} ${pixelY(y)}`).join('')}" fill="none" stroke="${colors[index % colors.length]}" stroke-width="2"/>${points.map(([x, y]) => `<circle cx="${pixelX(x)}" cy="${pixelY(y)}" r="3" fill="${colors[index % colors.length]}"/>`).join('')}`,
    ),
    ...plottedLines.map(
      ({ name }, index) =>
        `<text x="500" y="${50 + 16 * index}" fill="${colors[index % colors.length]}">${name}</text>`,
    ),
    '</svg>',
    '',
  ].join('\n');
};

/**
 * Reads the runs in a folder, fits every figure, and writes slopes.json and a plot for each role.
 * Exit codes: 0 success, 2 invalid arguments or unreadable runs.
 */
export const runSlopesCommand = (folder: string | undefined): number => {
  try {
    if (folder === undefined)
      throw new HollowError('usage', 'no folder given; expected: testbed slopes FOLDER');
    const fileNames = readdirSync(folder).filter((name) => /^[a-z]+-[\d.]+\.json$/.test(name));
    if (fileNames.length === 0)
      throw new HollowError(
        'usage',
        `${folder}: found no runs; expected files such as nodes-16.json`,
      );
    const runs = fileNames.map((name) => ({
      option: name.split('-', 1)[0] ?? '',
      run: JSON.parse(readFileSync(path.join(folder, name), 'utf8')) as StoredRun,
    }));
    const series = Object.fromEntries(
      variedOptions.flatMap((option) => {
        const optionRuns = runs
          .filter((stored) => stored.option === option)
          .sort((a, b) => optionValueOf(option, a.run) - optionValueOf(option, b.run));
        if (optionRuns.length < 2) return [];
        const figuresByValue = optionRuns.map(
          ({ run }) => [optionValueOf(option, run), figuresOf(run)] as const,
        );
        const figures = [
          ...new Set(figuresByValue.flatMap(([, figures]) => Object.keys(figures))),
        ].sort();
        // A figure that is missing from a run counts as 0: the run had no such traffic or event.
        return [
          [
            option,
            figures.map((figure) =>
              fitSlope(
                figure,
                figuresByValue.map(([x, figures]) => [x, figures[figure] ?? 0] as const),
              ),
            ),
          ],
        ];
      }),
    ) as Readonly<Record<string, readonly Slope[]>>;
    const roundNumber = (value: unknown): unknown =>
      typeof value === 'number' && !Number.isInteger(value) ? Number(value.toPrecision(5)) : value;
    const hasValues = (slope: Slope): boolean => slope.points.some(([, y]) => y !== 0);
    writeFileSync(
      path.join(folder, 'slopes.json'),
      `{\n${Object.entries(series)
        .map(
          ([option, slopes]) =>
            `"${option}": [\n${slopes
              .filter(hasValues)
              .map((slope) => JSON.stringify(slope, (_, value: unknown) => roundNumber(value)))
              .join(',\n')}\n]`,
        )
        .join(',\n')}\n}\n`,
    );
    for (const role of ['replica', 'holder', 'seed', 'agent', 'proxy']) {
      const bytesOutSlopes = (series['nodes'] ?? []).filter(
        ({ figure }) =>
          figure.startsWith(`${role} `) &&
          figure.endsWith(' bytesOut') &&
          !figure.includes(' all '),
      );
      const plotLines = bytesOutSlopes
        .map(
          (
            bytesOut,
          ): { readonly name: string; readonly points: readonly (readonly [number, number])[] } => {
            const bytesIn = (series['nodes'] ?? []).find(
              ({ figure }) => figure === bytesOut.figure.replace('bytesOut', 'bytesIn'),
            );
            return {
              name: bytesOut.figure.split(' ')[1] ?? '',
              points: bytesOut.points.map(
                ([x, y], index) => [x, y + (bytesIn?.points[index]?.[1] ?? 0)] as const,
              ),
            };
          },
        )
        .sort((a, b) => (b.points.at(-1)?.[1] ?? 0) - (a.points.at(-1)?.[1] ?? 0))
        .slice(0, 7);
      if (plotLines.length > 0)
        writeFileSync(
          path.join(folder, `${role}.svg`),
          plot(`${role}: bytes a second, in and out, by kind of call`, plotLines, {
            name: role === 'proxy' ? '10 KB/s (its calls stay on its machine)' : '10 KB/s',
            y: 10_000,
          }),
        );
    }
    for (const [option, slopes] of Object.entries(series))
      process.stdout.write(
        `${option}: ${slopes.filter(hasValues).length} figures over ${slopes[0]?.points.map(([x]) => x).join(', ') ?? ''}\n`,
      );
    return 0;
  } catch (thrown) {
    process.stderr.write(`${errorMessage(thrown)}\n`);
    return 2;
  }
};
