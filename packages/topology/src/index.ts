/** The example deployments that tests run on. */
export { type Deployment, type Machine, type Origin } from './topology.js';
