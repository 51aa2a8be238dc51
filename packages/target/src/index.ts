/** Dispatch of tasks to targets. */
export * from './http-task-targets.js';
export type * from './task-target.js';
