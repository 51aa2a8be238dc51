export * from './http-target-client.js';
export * from './task-answer.js';
export type * from './target-client.js';
