/** Predicts the effects of a config change or a zone order before it is sent. */
export { type IntendedChange, type SystemState, type ChangePlan, plan } from './planner.js';
