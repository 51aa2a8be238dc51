/** Decisions of the dispatcher. Nothing in this package reads a clock, a file or a socket. */
export * from './catalogue.js';
export * from './catalogue-entry.js';
export * from './hand-over.js';
export * from './identifier.js';
export * from './job.js';
export * from './job-run.js';
export * from './member.js';
export * from './owner-search.js';
export * from './submission-memory.js';
export * from './submission-record.js';
export type * from './task-outcome.js';
export * from './verdict.js';
