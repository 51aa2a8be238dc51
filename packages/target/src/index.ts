export * from './http-task-targets.js';
export * from './task-answer.js';
export type * from './task-target.js';
