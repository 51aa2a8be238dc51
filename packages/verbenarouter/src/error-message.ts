/** Texts of errors that were caught. */

/** The message of anything that was thrown. */
export function errorMessage(error: unknown): string {
	return error instanceof Error ? error.message : String(error);
}
