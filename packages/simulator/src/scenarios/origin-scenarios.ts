/** Scenarios in which origins misbehave, drain, stop and return. */

import { repeatBetween, machineNamesOf, restart, type Scenario } from './environment.js';
import { injectOriginFaults } from './origin-faults.js';
import { randomFaults } from './random-faults.js';

/** Scenarios, by name. */
export const originScenarios = {
  'lost-answers': {
    summary:
      'origins execute requests but lose the response, or send garbage, truncated bodies or responses to other requests; nodes are killed; clients retry',
    seconds: 35,
    play: (environment) => {
      environment.fleet.clock.schedule(7_000, () => injectOriginFaults(environment.fleet));
      repeatBetween(environment, 9_000, 26_000, 2_500, () => randomFaults.kill?.(environment));
    },
  },
  repeats: {
    summary: 'every origin fails most of its requests',
    seconds: 40,
    rate: 300,
    play: (environment) => {
      environment.fleet.clock.schedule(9_000, () => {
        for (const origin of environment.fleet.origins)
          Object.assign(origin.mode, { garbage: 0.7 });
      });
    },
  },
  'repeats-relayed': {
    summary:
      'every origin fails most of its requests, while one zone is overloaded and forwards most requests to peers',
    seconds: 60,
    rate: 400,
    capacityBps: 3_000_000,
    play: (environment) => {
      const { fleet } = environment;
      fleet.clock.schedule(8_000, () => {
        environment.traffic.crowdedZone = 'west';
      });
      fleet.clock.schedule(25_000, () => {
        for (const origin of fleet.origins) Object.assign(origin.mode, { garbage: 0.9, slowMs: 5 });
      });
    },
  },
  'reused-address': {
    summary: 'origins of two services exchange their addresses',
    seconds: 40,
    play: (environment) => {
      const { fleet } = environment;
      repeatBetween(environment, 8_000, 34_000, 2_500, () => {
        const storeOrigin = fleet.clock.pick(
          fleet.origins.filter((each) => each.service === 'store'),
        );
        const applicationOrigin = fleet.clock.pick(
          fleet.origins.filter((each) => each.service === 'application'),
        );
        if (storeOrigin === undefined || applicationOrigin === undefined) return;
        const [storeIdentity, applicationIdentity] = [
          { service: storeOrigin.service, instance: storeOrigin.instance },
          { service: applicationOrigin.service, instance: applicationOrigin.instance },
        ];
        Object.assign(storeOrigin, applicationIdentity, {
          incarnation: storeOrigin.incarnation + applicationOrigin.incarnation + 1,
        });
        Object.assign(applicationOrigin, storeIdentity, { incarnation: storeOrigin.incarnation });
      });
    },
  },
  drains: {
    summary:
      'origins drain, stop and return in slow start, one by one; nodes freeze and are isolated meanwhile',
    seconds: 45,
    play: (environment) => {
      repeatBetween(environment, 8_000, 36_000, 2_000, () => randomFaults.drain?.(environment));
      repeatBetween(environment, 9_000, 36_000, 5_000, () => randomFaults.freeze?.(environment));
      repeatBetween(environment, 11_000, 36_000, 7_000, () => randomFaults.cut?.(environment));
    },
  },
  'drain-then-kill': {
    summary:
      'an origin sends its drain notice once, to a node that is killed or isolated right after the acknowledgement; a new incarnation takes its address',
    seconds: 50,
    rate: 200,
    play: (environment) => {
      const { fleet } = environment;
      repeatBetween(environment, 9_000, 38_000, 2_500, () => {
        const origin = fleet.clock.pick(
          fleet.origins.filter((each) => each.alive && !each.draining),
        );
        const node = fleet.clock.pick(
          machineNamesOf(fleet).filter((name) => fleet.isRunning(name)),
        );
        if (origin === undefined || node === undefined) return;
        Object.assign(origin, { draining: true, silent: true });
        fleet.describe(
          origin,
          () => {
            fleet.fault(`${origin.instance} drains; ${node} goes down`);
            if (fleet.clock.random() < 0.5) restart(fleet, node, 3_000);
            else {
              fleet.isolate(node);
              fleet.clock.schedule(3_000, () => fleet.heal());
            }
          },
          node,
        );
        fleet.clock.schedule(6_000, () => {
          Object.assign(origin, {
            draining: false,
            silent: false,
            incarnation: origin.incarnation + 1,
          });
          fleet.describe(origin);
        });
      });
    },
  },
} satisfies Readonly<Record<string, Scenario>>;
