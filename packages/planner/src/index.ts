/** What an order would move, before it is sent. */
export { type Intent, type Known, type Moves, plan } from './planner.js';
