/** A clock that never jumps. */

/** Milliseconds since 1970 by the process's steady clock: close to the time of day at the start, and only growing. */
export function steadyNow(): number {
	return performance.timeOrigin + performance.now();
}
