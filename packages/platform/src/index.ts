/** The platform: its settings, its store, its workers and its interface for callers; and the project's own log service. */
export * from './platform.js';
export * from './http-platform.js';
export * from './caller-front.js';
export * from './decode.js';
export * from './desired-state-record.js';
export * from './entry-settings.js';
export * from './http-exchange.js';
export * from './job-record.js';
export * from './rehearsal-wire.js';
export * from './store-client.js';
export * from './worker-client.js';
export * from './worker-record.js';
