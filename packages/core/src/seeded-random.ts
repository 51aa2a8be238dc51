/** Returns the next pseudorandom number, from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

const multiplier = 48_271;
const modulus = 2 ** 31 - 1;
const warmUpSteps = 4;

/** Creates a Lehmer generator: equal seeds give equal sequences. It is not cryptographically secure. */
export function seededRandom(seed: number): Random {
	let state = (Math.abs(Math.trunc(seed)) % (modulus - 1)) + 1;
	const next = (): number => {
		state = (state * multiplier) % modulus;
		return (state - 1) / (modulus - 1);
	};

	// The first numbers of small seeds are close to 0, so they are skipped.
	Array.from({length: warmUpSteps}, next);
	return next;
}

/** Draws a number between two bounds from a log-uniform distribution. */
export function sampleLogUniform(
	random: Random,
	min: number,
	max: number,
): number {
	return min * (max / min) ** random();
}
