import {writeFile} from 'node:fs/promises';
import {buildOpenApiDocument} from './open-api.js';

/** The committed OpenAPI document, which `npm run openapi` rewrites. */
const documentUrl = new URL('../../../docs/openapi.json', import.meta.url);
await writeFile(
	documentUrl,
	`${JSON.stringify(buildOpenApiDocument(), undefined, '\t')}\n`,
);
