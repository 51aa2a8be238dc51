/** Routes that change the catalogue. */
import {randomUUID} from 'node:crypto';
import {
	catalogueItemSchema,
	editIdSchema,
	validateDeletion,
	validateItem,
	type ValidationIssue,
	type ItemKey,
} from '@verbenarouter/core';
import {type FastifyInstance} from 'fastify';
import {z} from 'zod';
import {readBasedOn} from './based-on.js';
import {type CatalogueAdministration} from './catalogue-administration.js';
import {faultsOf, sendFaults, sendVerdict} from './operator-answer.js';
import {type OperatorGuard} from './operator-guard.js';

const putBodySchema = z.strictObject({
	item: z.record(z.string(), z.unknown()),
	basedOn: z.number().int().nonnegative().optional(),
	editId: editIdSchema.optional(),
});
const deleteQuerySchema = z.strictObject({
	basedOn: z.coerce.number().int().positive().optional(),
	editId: editIdSchema.optional(),
});

/** Adds the route that creates and changes items. */
export function addPutRoute(
	server: FastifyInstance,
	administration: CatalogueAdministration,
	guard: OperatorGuard,
): void {
	server.put(
		'/v1/catalogue/:kind/:name',
		guard.withKey(async (key, request, reply, {operator}) => {
			const body = putBodySchema.safeParse(request.body);
			if (!body.success) {
				return sendFaults(reply, faultsOf(body.error));
			}

			const item = catalogueItemSchema.safeParse({...key, ...body.data.item});
			if (!item.success) {
				return sendFaults(reply, faultsOf(item.error, 'item'));
			}

			const basedOn = readBasedOn(request.headers, body.data.basedOn);
			const itemFaults = await guard.confirmed((known) =>
				validateItem(item.data, known),
			);
			const faults = [
				...faultsOfKey(key, item.data),
				...itemFaults.map((fault) => withinItem(fault)),
				...(basedOn.isErr() ? [basedOn.error] : []),
			];
			return faults.length > 0 || basedOn.isErr()
				? sendFaults(reply, faults)
				: sendVerdict(
						reply,
						await administration.write({
							...editIdOf(body.data.editId),
							key,
							basedOn: basedOn.value,
							item: item.data,
							author: operator,
						}),
					);
		}),
	);
}

/** Adds the route that deletes items. */
export function addDeleteRoute(
	server: FastifyInstance,
	administration: CatalogueAdministration,
	guard: OperatorGuard,
): void {
	server.delete(
		'/v1/catalogue/:kind/:name',
		guard.withKey(async (key, request, reply, {operator}) => {
			const query = deleteQuerySchema.safeParse(request.query);
			if (!query.success) {
				return sendFaults(reply, faultsOf(query.error));
			}

			const basedOn = readBasedOn(request.headers, query.data.basedOn);
			const faults = [
				...(await guard.confirmed((known) => validateDeletion(key, known))),
				...(basedOn.isErr() ? [basedOn.error] : []),
			];
			return faults.length > 0 || basedOn.isErr()
				? sendFaults(reply, faults)
				: sendVerdict(
						reply,
						await administration.write({
							...editIdOf(query.data.editId),
							key,
							basedOn: basedOn.value,
							item: null,
							author: operator,
						}),
					);
		}),
	);
}

function editIdOf(given: string | undefined): {
	readonly editId: string;
	readonly isFirstAttempt: boolean;
} {
	return {editId: given ?? randomUUID(), isFirstAttempt: given === undefined};
}

function faultsOfKey(key: ItemKey, item: ItemKey): readonly ValidationIssue[] {
	return (['kind', 'name'] as const)
		.filter((field) => key[field] !== item[field])
		.map((field) => ({
			path: `item.${field}`,
			message: `must be "${key[field]}", as in the path`,
		}));
}

function withinItem({path, message}: ValidationIssue): ValidationIssue {
	return {path: path === '' ? 'item' : `item.${path}`, message};
}
