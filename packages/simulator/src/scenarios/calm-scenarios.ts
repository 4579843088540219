/** Scenarios in which nothing fails. */

import type { Scenario } from './environment.js';

/** Scenarios, by name. */
export const calmScenarios = {
  calm: { summary: 'nothing fails', seconds: 30, play: () => undefined },
  'crowded-zone': {
    summary: 'most clients turn to one zone and exceed the capacity of its proxies',
    seconds: 90,
    rate: 300,
    play: (environment) => {
      environment.fleet.clock.schedule(20_000, () => {
        environment.traffic.crowdedZone = 'west';
      });
      environment.fleet.clock.schedule(70_000, () => {
        environment.traffic.crowdedZone = null;
      });
    },
  },
} satisfies Readonly<Record<string, Scenario>>;
