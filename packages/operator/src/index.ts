export type * from './catalogue-administration.js';
export * from './catalogue-editor.js';
export * from './operator-server.js';
