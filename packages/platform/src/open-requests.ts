import {type IncomingMessage, type ServerResponse} from 'node:http';

/** The requests of a server that have no complete response yet. */
export class OpenRequests {
	readonly #requests = new Map<ServerResponse, IncomingMessage>();

	/** Adds a request until its response has been passed to the operating system or its connection has closed. */
	add(request: IncomingMessage, response: ServerResponse): void {
		this.#requests.set(response, request);
		const remove = () => {
			this.#requests.delete(response);
		};

		response.once('finish', remove);
		response.once('close', remove);
	}

	/** Number of requests that have been read whole. */
	get readCount(): number {
		return [...this.#requests.values()].filter(({complete}) => complete).length;
	}

	/** The requests whose response has not begun. */
	get withoutResponse(): ReadonlyArray<{
		readonly request: IncomingMessage;
		readonly response: ServerResponse;
	}> {
		return [...this.#requests]
			.filter(([response]) => !response.headersSent && !response.destroyed)
			.map(([response, request]) => ({request, response}));
	}
}
