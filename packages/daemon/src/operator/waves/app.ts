/** Waves: declare and show. */
import {randomUUID} from 'node:crypto';
import {z} from 'zod';
import {createErrorResponse} from '../../caller/answer.js';
import type {Wave} from '../../waves/wave-runner.js';
import type {OperatorApp, OperatorDeps} from '../operator-app.js';

const waveRequest = z.strictObject({pool: z.string().min(1).max(63)});

/** Registers the handlers of this domain. */
export const registerWaves = (app: OperatorApp, deps: OperatorDeps) => {
	app.put('/v1/waves/:id', async (c) => {
		const parsed = waveRequest.safeParse(await c.req.json());
		if (!parsed.success) {
			return createErrorResponse('bad-request', randomUUID());
		}

		const {pool} = parsed.data;
		const wave: Wave = {
			id: c.req.param('id'),
			pool,
			state: 'running',
			done: [],
		};
		const committed = await deps.table.commit(
			[
				{
					kind: 'put',
					table: 'wave',
					key: wave.id,
					value: wave,
					when: {kind: 'absent'},
				},
			],
			randomUUID(),
		);
		return committed.ok
			? c.json({wave})
			: createErrorResponse('version-conflict', randomUUID());
	});
	app.get('/v1/waves/:id', async (c) => {
		const row = await deps.table.get('wave', c.req.param('id'));
		return row.ok && row.value
			? c.json({wave: row.value.value})
			: createErrorResponse('not-found', randomUUID());
	});
};
