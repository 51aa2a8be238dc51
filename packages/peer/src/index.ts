export * from './peer-message.js';
export * from './peer-link.js';
export * from './peer-mesh.js';
export * from './with-timeout.js';
export {peerTraffic} from './peer-service.js';
export * from './pool-link.js';
export * from './pool-mesh.js';
export type * from './pool-message.js';
export * from './pool-traffic.js';
