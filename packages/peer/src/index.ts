/** Streams between entry VMs. */
export * from './message.js';
export * from './peer-link.js';
export * from './peer-mesh.js';
export * from './within-time.js';
