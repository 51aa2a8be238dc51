/**
 * Returns milliseconds since 1970 on a monotonic clock: the wall-clock time at the start of the process plus the time
 * since, unaffected by later adjustments of the wall clock.
 */
export function monotonicNowMs(): number {
	return performance.timeOrigin + performance.now();
}
