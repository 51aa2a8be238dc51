import fastify, {type FastifyInstance} from 'fastify';
import {type CatalogueAdministration} from './catalogue-administration.js';
import {sendError} from './operator-answer.js';
import {OperatorGuard} from './operator-guard.js';
import {addCatalogueRoutes, addItemRoutes} from './read-routes.js';
import {addDeleteRoute, addPutRoute} from './write-routes.js';

/** Maximum size of a request body. */
export const operatorBodyLimitBytes = 1_000_000;

/**
 * Creates the HTTP server of the operators' interface, which shows and edits the catalogue under `/v1/catalogue`.
 * Listening and closing are left to the code that creates the server.
 */
export function createOperatorServer(
	administration: CatalogueAdministration,
): FastifyInstance {
	const server = fastify({
		bodyLimit: operatorBodyLimitBytes,
		forceCloseConnections: 'idle',
	});
	server.setErrorHandler(
		async (error: {statusCode?: number}, _request, reply) =>
			sendError(
				reply,
				error.statusCode ?? 500,
				error.statusCode === undefined ? 'internal' : 'bad-request',
				error instanceof Error ? error.message : 'unexpected',
			),
	);

	const guard = new OperatorGuard(administration);
	addCatalogueRoutes(server, administration, guard);
	addItemRoutes(server, guard);
	addPutRoute(server, administration, guard);
	addDeleteRoute(server, administration, guard);
	return server;
}
