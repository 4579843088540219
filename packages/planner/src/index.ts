/** What an order would move, before it is sent. */
export {
  type Intent as IntendedChange,
  type Known as SystemState,
  type Moves as ChangePlan,
  plan,
} from './planner.js';
