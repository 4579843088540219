/**
 * Preloaded into a program by tests. Each SIGUSR2 shifts the program's wall clock: the first to
 * five hours ahead, the second to five hours behind, the third back to the right time. The replaced
 * `Date` applies to the program's own code and to its libraries.
 */
const SystemDate = Date;
const offsetsHours = [0, 5, -5];
let offsetIndex = 0;
const offsetMs = (): number => 3_600_000 * (offsetsHours[offsetIndex] ?? 0);
process.on('SIGUSR2', () => {
  offsetIndex = (offsetIndex + 1) % offsetsHours.length;
});
globalThis.Date = class extends SystemDate {
  constructor(...args: readonly unknown[]) {
    super(...((args.length === 0 ? [SystemDate.now() + offsetMs()] : args) as [number]));
  }
  static override now(): number {
    return SystemDate.now() + offsetMs();
  }
} as unknown as DateConstructor;

export {};
