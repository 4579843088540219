/**
 * Loaded before a daemon by tests: its wall clock jumps five hours ahead at the first SIGUSR2, five
 * back at the second, and is right again at the third. It holds for the daemon's own code and for
 * its libraries.
 */
const True = Date;
const offsets = [0, 5, -5];
let place = 0;
const offset = (): number => 3_600_000 * (offsets[place] ?? 0);
process.on('SIGUSR2', () => {
  place = (place + 1) % offsets.length;
});
globalThis.Date = class extends True {
  constructor(...given: readonly unknown[]) {
    super(...((given.length === 0 ? [True.now() + offset()] : given) as [number]));
  }
  static override now(): number {
    return True.now() + offset();
  }
} as unknown as DateConstructor;

export {};
