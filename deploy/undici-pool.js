/** The two parts of undici that the daemon uses; the whole library takes 0.1 s more to load. */
export {default as Pool} from '../node_modules/undici/lib/dispatcher/pool.js';
export {default as errors} from '../node_modules/undici/lib/core/errors.js';
