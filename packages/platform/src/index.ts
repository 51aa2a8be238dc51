/** Client of the platform's services. */
export * from './http-platform.js';
export * from './platform.js';
