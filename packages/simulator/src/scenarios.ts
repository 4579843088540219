/** The scenarios of the simulator. */
import { longPartitionScenarios } from './long-partitions.js';
import { cacheScenarios } from './scenarios/cache-scenarios.js';
import { calmScenarios } from './scenarios/calm-scenarios.js';
import { diskScenarios } from './scenarios/disk-scenarios.js';
import type { Scenario } from './scenarios/environment.js';
import { machineScenarios } from './scenarios/machine-scenarios.js';
import { mixedScenarios } from './scenarios/mixed-scenarios.js';
import { networkScenarios } from './scenarios/network-scenarios.js';
import { originScenarios } from './scenarios/origin-scenarios.js';
import { policyScenarios } from './scenarios/policy-scenarios.js';
import { quotaScenarios } from './scenarios/quota-scenarios.js';
import { soakScenarios } from './scenarios/soak-scenarios.js';
import { zoneScenarios } from './scenarios/zone-scenarios.js';

/** All scenarios, by name. Each causes the situations that some of the rules are about. */
export const scenarios: Readonly<Record<string, Scenario>> = {
  ...longPartitionScenarios,
  ...calmScenarios,
  ...networkScenarios,
  ...originScenarios,
  ...diskScenarios,
  ...policyScenarios,
  ...zoneScenarios,
  ...cacheScenarios,
  ...quotaScenarios,
  ...machineScenarios,
  ...mixedScenarios,
  ...soakScenarios,
};
