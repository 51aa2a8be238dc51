/** The dispatcher as a library. */
export * from './clock.js';
export * from './decision-log.js';
export * from './dispatcher.js';
export * from './entry-vm.js';
export * from './logger.js';
export * from './metrics.js';
export * from './settings.js';
export * from './submission-owner.js';
export * from './submission-router.js';
