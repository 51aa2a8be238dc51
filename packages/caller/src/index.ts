export * from './caller-client.js';
export * from './caller-server.js';
export type * from './job-service.js';
export * from './open-api.js';
export * from './status-code.js';
