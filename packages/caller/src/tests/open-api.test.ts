import {readFileSync} from 'node:fs';
import {describe, expect, it} from 'vitest';
import {buildOpenApiDocument} from '../index.js';

describe('the OpenAPI description', () => {
	it('equals the committed docs/openapi.json, which `npm run openapi` writes', () => {
		const committed = readFileSync(
			new URL('../../../../docs/openapi.json', import.meta.url),
			'utf8',
		);
		expect(JSON.parse(committed)).toEqual(buildOpenApiDocument());
	});
});
