import {performance} from 'node:perf_hooks';

/** Returns the current time in milliseconds since 1970. */
export type Clock = () => number;

/** A clock that starts at the wall-clock time and never steps back within a process, even if the wall clock is changed. */
export const monotonicClock: Clock = () =>
	performance.timeOrigin + performance.now();
