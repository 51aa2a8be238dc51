/** Incarnations of ledgers: one process may begin its ledger anew, under the next generation. */

const generationMark = '~';
const remembered = 1000;

/** The name of a ledger's incarnation, from its process and how often it began anew. */
export function ledgerIncarnation(process: string, generation: number): string {
	return `${process}${generationMark}${generation}`;
}

/** The process of a ledger's incarnation. */
export function processOf(incarnation: string): string {
	return incarnation.slice(0, incarnation.lastIndexOf(generationMark));
}

/** The incarnations that have ended, as far back as they are remembered. */
export class EndedIncarnations {
	readonly #ended = new Set<string>();

	add(incarnation: string): void {
		this.#ended.add(incarnation);
		const [oldest] = this.#ended;
		if (this.#ended.size > remembered && oldest !== undefined) {
			this.#ended.delete(oldest);
		}
	}

	has(incarnation: string): boolean {
		return this.#ended.has(incarnation);
	}

	/** The last incarnation of a process that has ended. */
	lastOf(process: string): string | undefined {
		return [...this.#ended].findLast(
			(incarnation) => processOf(incarnation) === process,
		);
	}
}
