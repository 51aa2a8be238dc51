/** Waits that end. */

/** The promise's value, or `undefined` after `waitMs`. */
export async function withinTime<T>(
	promise: Promise<T>,
	waitMs: number,
): Promise<T | undefined> {
	let timer: NodeJS.Timeout | undefined;
	const timeout = new Promise<undefined>((resolve) => {
		timer = setTimeout(
			() => {
				resolve(undefined);
			},
			Math.max(0, waitMs),
		);
	});
	try {
		return await Promise.race([promise, timeout]);
	} finally {
		clearTimeout(timer);
	}
}
