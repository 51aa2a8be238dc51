/** Pseudorandom numbers that a seed determines. */

/** Gives numbers from 0 (inclusive) to 1 (exclusive). */
export type Random = () => number;

const multiplier = 48_271;
const modulus = 2 ** 31 - 1;
const warmUpSteps = 4;

/** A Lehmer generator: the same seed gives the same numbers. It is not for secrets. */
export function seededRandom(seed: number): Random {
	let state = (Math.abs(Math.trunc(seed)) % (modulus - 1)) + 1;
	const next = (): number => {
		state = (state * multiplier) % modulus;
		return (state - 1) / (modulus - 1);
	};

	// Small seeds give small first numbers.
	Array.from({length: warmUpSteps}, next);
	return next;
}

/** Draws a number between two bounds, with a density that falls as one over the number. */
export function logUniform(
	random: Random,
	least: number,
	most: number,
): number {
	return least * (most / least) ** random();
}
