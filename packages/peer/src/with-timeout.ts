/** Resolves with the promise's value, or with `undefined` after `waitMs` milliseconds; rejects if the promise rejects. */
export async function withTimeout<T>(
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
