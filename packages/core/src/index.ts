/** Decisions of the dispatcher. Nothing in this package reads a clock, a file or a socket. */
export * from './catalogue.js';
export * from './catalogue-check.js';
export * from './catalogue-entry.js';
export * from './catalogue-record.js';
export * from './catalogue-replay.js';
export * from './identifier.js';
export * from './job.js';
export * from './job-run.js';
export * from './member.js';
export * from './snapshot-schedule.js';
export * from './share-ledger.js';
export * from './share-message.js';
export * from './share-split.js';
export * from './submission-memory.js';
export type * from './task-outcome.js';
export * from './verdict.js';
export * from './seeded-random.js';
