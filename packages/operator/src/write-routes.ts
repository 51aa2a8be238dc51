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
import {readBaseRevision} from './base-revision.js';
import {type CatalogueAdministration} from './catalogue-administration.js';
import {
	toValidationIssues,
	sendValidationIssues,
	sendVerdict,
} from './operator-answer.js';
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
		guard.requireOperatorAndKey(async (key, request, reply, {operator}) => {
			const body = putBodySchema.safeParse(request.body);
			if (!body.success) {
				return sendValidationIssues(reply, toValidationIssues(body.error));
			}

			const item = catalogueItemSchema.safeParse({...key, ...body.data.item});
			if (!item.success) {
				return sendValidationIssues(
					reply,
					toValidationIssues(item.error, 'item'),
				);
			}

			const basedOn = readBaseRevision(request.headers, body.data.basedOn);
			const itemIssues = await guard.validateWithRefresh((catalogue) =>
				validateItem(item.data, catalogue),
			);
			const issues = [
				...findKeyMismatches(key, item.data),
				...itemIssues.map((issue) => prefixWithItem(issue)),
				...(basedOn.isErr() ? [basedOn.error] : []),
			];
			return issues.length > 0 || basedOn.isErr()
				? sendValidationIssues(reply, issues)
				: sendVerdict(
						reply,
						await administration.write({
							...resolveEditId(body.data.editId),
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
		guard.requireOperatorAndKey(async (key, request, reply, {operator}) => {
			const query = deleteQuerySchema.safeParse(request.query);
			if (!query.success) {
				return sendValidationIssues(reply, toValidationIssues(query.error));
			}

			const basedOn = readBaseRevision(request.headers, query.data.basedOn);
			const issues = [
				...(await guard.validateWithRefresh((catalogue) =>
					validateDeletion(key, catalogue),
				)),
				...(basedOn.isErr() ? [basedOn.error] : []),
			];
			return issues.length > 0 || basedOn.isErr()
				? sendValidationIssues(reply, issues)
				: sendVerdict(
						reply,
						await administration.write({
							...resolveEditId(query.data.editId),
							key,
							basedOn: basedOn.value,
							item: null,
							author: operator,
						}),
					);
		}),
	);
}

function resolveEditId(requestEditId: string | undefined): {
	readonly editId: string;
	readonly isFirstAttempt: boolean;
} {
	return {
		editId: requestEditId ?? randomUUID(),
		isFirstAttempt: requestEditId === undefined,
	};
}

function findKeyMismatches(
	key: ItemKey,
	item: ItemKey,
): readonly ValidationIssue[] {
	return (['kind', 'name'] as const)
		.filter((field) => key[field] !== item[field])
		.map((field) => ({
			path: `item.${field}`,
			message: `must be "${key[field]}" as in the path of the request`,
		}));
}

function prefixWithItem({path, message}: ValidationIssue): ValidationIssue {
	return {path: path === '' ? 'item' : `item.${path}`, message};
}
