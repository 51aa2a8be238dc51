import {type IncomingMessage, type ServerResponse} from 'node:http';
import {type Socket} from 'node:net';

/** The responses that are not complete yet, by connection; several if a caller pipelines its requests. */
const openResponses = new WeakMap<Socket, ReadonlySet<ServerResponse>>();

/** Whether no other request on a response's connection waits for its own response, which closing it would discard. */
export function isLastOnConnection(response: ServerResponse): boolean {
	const others = new Set(openResponses.get(response.req.socket));
	others.delete(response);
	return others.size === 0;
}

/** The requests of a server that have no complete response yet. */
export class OpenRequests {
	readonly #requests = new Map<ServerResponse, IncomingMessage>();

	/** Adds a request until its response has been passed to the operating system or its connection has closed. */
	add(request: IncomingMessage, response: ServerResponse): void {
		const {socket} = request;
		this.#requests.set(response, request);
		openResponses.set(
			socket,
			new Set([...(openResponses.get(socket) ?? []), response]),
		);
		const remove = () => {
			socket.off('close', remove);
			this.#requests.delete(response);
			openResponses.set(
				socket,
				new Set(
					[...(openResponses.get(socket) ?? [])].filter(
						(other) => other !== response,
					),
				),
			);
		};

		response.once('finish', remove);
		response.once('close', remove);
		// A response behind others on its connection has no `close` event if the connection breaks before its turn.
		socket.once('close', remove);
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
