export * from './installation.js';
export * from './platform-stand-in.js';
export * from './target-stand-in.js';
