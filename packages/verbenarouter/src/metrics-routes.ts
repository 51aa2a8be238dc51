import {type FastifyInstance} from 'fastify';
import {type Metrics} from './metrics.js';

/**
 * Adds the routes `/metrics` (text for scrapers), `/metrics.json`, `/healthz` and `/readyz` to the operators' interface.
 * They need no token, because they expose no content of jobs.
 */
export function addMetricsRoutes(
	server: FastifyInstance,
	metrics: Metrics,
	isReady: () => boolean,
): void {
	server.get('/metrics', async (_request, reply) =>
		reply
			.type('text/plain; version=0.0.4; charset=utf-8')
			.send(metrics.formatText()),
	);
	server.get('/metrics.json', async () => metrics.snapshot());
	server.get('/healthz', async () => ({status: 'alive'}));
	server.get('/readyz', async (_request, reply) =>
		reply
			.code(isReady() ? 200 : 503)
			.send({status: isReady() ? 'ready' : 'not-ready'}),
	);
}
