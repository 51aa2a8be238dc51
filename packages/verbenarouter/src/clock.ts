/** The present time. */
import {performance} from 'node:perf_hooks';

/** Gives the present time in milliseconds since 1970. */
export type Clock = () => number;

/** A clock that never steps back while the process lives, whatever happens to the machine's wall clock. */
export const steadyClock: Clock = () =>
	performance.timeOrigin + performance.now();
