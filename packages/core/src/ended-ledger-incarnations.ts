const generationSeparator = '~';
const maximumEndedIncarnations = 1000;

/** Formats the incarnation of a ledger. A process that resets its ledger continues under the next generation. */
export function formatLedgerIncarnation(
	process: string,
	generation: number,
): string {
	return `${process}${generationSeparator}${generation}`;
}

/** Returns the process part of a ledger incarnation. */
export function parseLedgerProcess(incarnation: string): string {
	return incarnation.slice(0, incarnation.lastIndexOf(generationSeparator));
}

/** A bounded set of ended ledger incarnations that evicts its oldest entry first. */
export class EndedLedgerIncarnations {
	readonly #ended = new Set<string>();

	add(incarnation: string): void {
		this.#ended.add(incarnation);
		const [oldest] = this.#ended;
		if (this.#ended.size > maximumEndedIncarnations && oldest !== undefined) {
			this.#ended.delete(oldest);
		}
	}

	has(incarnation: string): boolean {
		return this.#ended.has(incarnation);
	}

	/** Returns the most recently added ended incarnation of a process. */
	findLatest(process: string): string | undefined {
		return [...this.#ended].findLast(
			(incarnation) => parseLedgerProcess(incarnation) === process,
		);
	}
}
