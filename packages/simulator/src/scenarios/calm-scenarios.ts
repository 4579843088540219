/** Nothing fails. */

import type { Scenario } from './environment.js';

/** Scenarios, by name. */
export const calmScenarios = {
  calm: { what: 'nothing fails', seconds: 30, play: () => undefined },
  'crowded-zone': {
    what: 'most callers come to one zone, more than its proxies can serve',
    seconds: 90,
    rate: 300,
    play: (environment) => {
      environment.fleet.clock.in(20_000, () => {
        environment.factor.skew = 'west';
      });
      environment.fleet.clock.in(70_000, () => {
        environment.factor.skew = null;
      });
    },
  },
} satisfies Readonly<Record<string, Scenario>>;
