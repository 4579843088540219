/** Runs a reducer on a queue of events. */
export { type EventQueue, maxQueuedEvents, type Reducer, type Step, Task } from './task.js';
