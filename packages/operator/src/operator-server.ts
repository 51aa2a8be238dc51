/** The operators' HTTP interface: the catalogue under `/v1/catalogue`. */
import fastify, {type FastifyInstance} from 'fastify';
import {type CatalogueAdministration} from './catalogue-administration.js';
import {sendProblem} from './operator-answer.js';
import {OperatorGuard} from './operator-guard.js';
import {addCatalogueRoutes, addItemRoutes} from './read-routes.js';
import {addDeleteRoute, addPutRoute} from './write-routes.js';

/** Bytes of one request body at most. */
export const operatorBodyLimitBytes = 1_000_000;

/** Builds the operators' interface; the caller of this function listens and closes. */
export function createOperatorServer(
	administration: CatalogueAdministration,
): FastifyInstance {
	const server = fastify({
		bodyLimit: operatorBodyLimitBytes,
		forceCloseConnections: 'idle',
	});
	server.setErrorHandler(
		async (error: {statusCode?: number}, _request, reply) =>
			sendProblem(
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
