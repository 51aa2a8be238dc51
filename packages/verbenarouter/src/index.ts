/** The dispatcher as a library. */
export * from './clock.js';
export * from './decision-log.js';
export * from './dispatcher.js';
export * from './entry-vm.js';
export * from './ledger-exchange.js';
export * from './limits.js';
export * from './logger.js';
export * from './metrics.js';
export * from './quota-gate.js';
export * from './settings.js';
export * from './start-gate.js';
export * from './submission-owner.js';
export * from './submission-router.js';
