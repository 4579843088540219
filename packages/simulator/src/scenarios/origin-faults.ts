/** Faults of origins that several scenarios inject. */

import type { ScenarioFleet, ScenarioOrigin } from './environment.js';

/** Makes all origins lose, corrupt, truncate or mix up a share of their responses. */
export const injectOriginFaults = (fleet: ScenarioFleet): void => {
  for (const origin of fleet.origins)
    Object.assign(origin.mode, {
      lose: 0.1,
      aged: fleet.clock.random() < 0.3 ? 1 : 0,
      large: 0.002,
      garbage: 0.03,
      short: 0.03,
      foreign: 0.05,
    });
};

/** Stops an origin, and starts it after `downMs` as a new incarnation in slow start for 8 s. */
export const replaceOrigin = (
  fleet: ScenarioFleet,
  origin: ScenarioOrigin,
  downMs: number,
): void => {
  origin.alive = false;
  fleet.clock.schedule(downMs, () => {
    Object.assign(origin, {
      alive: true,
      cold: true,
      draining: false,
      incarnation: origin.incarnation + 1,
    });
    fleet.describe(origin);
    fleet.clock.schedule(8_000, () => {
      if (origin.alive) origin.cold = false;
    });
  });
};

/** Drains an origin, and optionally replaces it 5 s later by a new incarnation. */
export const drain = (fleet: ScenarioFleet, origin: ScenarioOrigin, thenDown: boolean): void => {
  origin.draining = true;
  fleet.describe(origin);
  if (thenDown) fleet.clock.schedule(5_000, () => replaceOrigin(fleet, origin, 1_000));
};
