/** Handlers of waves: plan, start, pause, resume, cancel and show. */
import {randomUUID} from 'node:crypto';
import * as core from '@gullstand/core';
import {budget, waves} from '@gullstand/core';
import type {StoreError, Write} from '@gullstand/ports';
import {readDrainCheck} from '../../waves/drain-check.js';
import {
	createViewLedgers,
	type ListedInstances,
} from '../../waves/ledger-cache.js';
import {createFacts, noJobs} from '../../waves/wave-facts.js';
import {
	loadWave,
	readWave,
	readWaves,
	type LoadedWave,
} from '../../waves/wave-rows.js';
import {readTable, toJson} from '../../view/tables.js';
import {
	answerError,
	answerStoreError,
	readJson,
	type OperatorContext,
} from '../objects/answers.js';
import type {OperatorApp, OperatorDeps} from '../types.js';
import {findWaveBlockers, previewWave, type PlanSources} from './plan-wave.js';
import {
	createSettings,
	getDurationMs,
	waveRequestSchema,
	type WaveRequest,
} from './wave-request.js';

/** Domain rows that one transaction inserts. */
const rowsPerCommit = 50;
const waitsShown = 20;
const maxCommitAttempts = 5;

const readListed = async ({list}: OperatorDeps): Promise<ListedInstances> => {
	const listed = await list?.list();
	return new Map(listed?.ok ? listed.value.map((each) => [each.id, each]) : []);
};

/** Reads the sources of a plan; unlisted instances count as live. */
const readSources = async (deps: OperatorDeps): Promise<PlanSources> => {
	const view = deps.getView();
	const listed = new Map(await readListed(deps));
	for (const {id, address, availabilityZone} of view.instances.values()) {
		if (!listed.has(id)) {
			listed.set(id, {
				id,
				role: 'executor',
				address,
				availabilityZone,
				state: 'live',
				incarnation: '',
			});
		}
	}

	return {view, listed, now: Date.now()};
};

const createWave = (
	id: string,
	author: string,
	request: WaveRequest,
	{view, now}: PlanSources,
) => {
	const rowsKey = `${id}@${randomUUID()}`;
	const instances = view.instances.values();
	const rows = waves.createDomainRows(rowsKey, request.pools, instances);
	const wave: waves.Wave = {
		id,
		rows: rowsKey,
		author,
		state: 'planned',
		pools: request.pools,
		settings: createSettings(request),
		createdAt: now,
		startedAt: undefined,
		endedAt: undefined,
		deadline: now + getDurationMs(request),
		domains: rows.length,
		instances: rows.reduce(
			(sum, {members}) => sum + Object.keys(members).length,
			0,
		),
	};
	return {wave, rows};
};

const toWrite = (put: budget.RowPut<unknown>): Write => ({
	...put,
	value: toJson(put.value),
});

/** Writes domain rows before the header: a wave without domains would end. */
const insertWave = async (
	{table}: OperatorDeps,
	wave: waves.Wave,
	rows: readonly waves.WaveDomain[],
): Promise<StoreError | undefined> => {
	for (let from = 0; from < rows.length; from += rowsPerCommit) {
		const writes = rows
			.slice(from, from + rowsPerCommit)
			.map((row) => toWrite(waves.createDomainInsert(row)));
		const committed = await table.commit(writes, randomUUID());
		if (!committed.ok) {
			return committed.error;
		}
	}

	const committed = await table.commit(
		[toWrite(waves.createWaveInsert(wave))],
		randomUUID(),
	);
	return committed.ok ? undefined : committed.error;
};

const refuseImpossible = (problems: readonly waves.Blocker[]) =>
	answerError('promise-impossible', {problems});

const plan = async (c: OperatorContext, deps: OperatorDeps, id: string) => {
	const parsed = waveRequestSchema.safeParse(await readJson(c));
	if (!parsed.success) {
		const faults = parsed.error.issues.map(({path, message}) => ({
			field: path.join('.'),
			message,
		}));
		return answerError('bad-request', {faults});
	}

	const sources = await readSources(deps);
	const author = c.get('operator').name;
	const {wave, rows} = createWave(id, author, parsed.data, sources);
	const problems = findWaveBlockers(wave, rows, sources);
	if (problems.length > 0) {
		return refuseImpossible(problems);
	}

	const error = await insertWave(deps, wave, rows);
	return error
		? answerStoreError(error)
		: c.json({wave, preview: await previewWave(wave, rows, sources)});
};

const getRows = ({rows}: LoadedWave) => [...rows.values()].map((r) => r.value);

const read = async (deps: OperatorDeps, id: string) => {
	const header = await readWave(deps.table, id);
	if (!header.ok) {
		return header;
	}

	return header.value
		? loadWave(deps.table, header.value, deps.getView())
		: core.succeed(undefined);
};

const preview = async (c: OperatorContext, deps: OperatorDeps, id: string) => {
	const loaded = await read(deps, id);
	if (!loaded.ok) {
		return answerStoreError(loaded.error);
	}

	if (!loaded.value) {
		return answerError('not-found');
	}

	const wave: waves.Wave = {...loaded.value.header.value, state: 'planned'};
	const sources = await readSources(deps);
	const result = await previewWave(wave, getRows(loaded.value), sources);
	return c.json({wave, preview: result});
};

/** Lists the conditions a wave waits for, with entries behind for drains. */
const getWaits = async (deps: OperatorDeps, {progress}: LoadedWave) => {
	const {view, listed, now} = await readSources(deps);
	const rows = await readTable(deps.table, budget.tables.ledgers);
	const known = rows.ok
		? rows.value.map(
				({key, value}) => [key, value as unknown as budget.Ledger] as const,
			)
		: [];
	const ledgers = new Map([...createViewLedgers(view, listed, now), ...known]);
	const facts = createFacts(progress, {
		view,
		listed,
		ledgers,
		jobs: noJobs,
		observations: {isDrained: () => false, getProbesPassed: () => 0},
	});
	const drain = await readDrainCheck({...deps, getInFlight: () => 0});
	return waves.listWaits({progress, facts, now}, waitsShown).map((wait) => {
		const phase =
			wait.kind === 'drain'
				? progress.members.get(wait.instance)?.phase
				: undefined;
		return wait.kind === 'drain' && phase?.kind === 'taken'
			? {
					...wait,
					lagging:
						drain?.listPendingAcknowledgements(
							wait.instance,
							phase.drainRevision,
						) ?? [],
				}
			: wait;
	});
};

const show = async (c: OperatorContext, deps: OperatorDeps, id: string) => {
	const loaded = await read(deps, id);
	if (!loaded.ok) {
		return answerStoreError(loaded.error);
	}

	if (!loaded.value) {
		return answerError('not-found');
	}

	const {header, progress} = loaded.value;
	return c.json({
		wave: header.value,
		counts: progress.counts,
		waits: await getWaits(deps, loaded.value),
	});
};

const refuseStart = async (
	deps: OperatorDeps,
	id: string,
): Promise<Response | undefined> => {
	const loaded = await read(deps, id);
	if (!loaded.ok || !loaded.value) {
		return undefined;
	}

	const {value: wave} = loaded.value.header;
	const sources = await readSources(deps);
	const problems = findWaveBlockers(wave, getRows(loaded.value), sources);
	return problems.length > 0 ? refuseImpossible(problems) : undefined;
};

const command = async (
	c: OperatorContext,
	deps: OperatorDeps,
	id: string,
	name: Exclude<waves.WaveCommand, 'finish'>,
): Promise<Response> => {
	const refused = name === 'start' ? await refuseStart(deps, id) : undefined;
	if (refused) {
		return refused;
	}

	for (let attempts = 0; attempts < maxCommitAttempts; attempts += 1) {
		const header = await readWave(deps.table, id);
		if (!header.ok) {
			return answerStoreError(header.error);
		}

		if (!header.value) {
			return answerError('not-found');
		}

		const {value, version} = header.value;
		const next = waves.applyWaveCommand(value, name, Date.now());
		if (!next.ok) {
			return answerError('version-conflict', {
				current: value,
				problems: [next.error],
			});
		}

		const write = toWrite(waves.createWavePut(next.value, version));
		const committed = await deps.table.commit([write], randomUUID());
		if (committed.ok) {
			return c.json({wave: next.value});
		}

		if (committed.error.kind !== 'conflict') {
			return answerStoreError(committed.error);
		}
	}

	return answerError('version-conflict');
};

const commands = ['start', 'pause', 'resume', 'cancel'] as const;

/** Registers the handlers of this domain. */
export const registerWaves = (app: OperatorApp, deps: OperatorDeps) => {
	app.get('/v1/waves', async (c) => {
		const headers = await readWaves(deps.table);
		return headers.ok
			? c.json({waves: headers.value.map(({value}) => value)})
			: answerStoreError(headers.error);
	});
	app.put('/v1/waves/:id', async (c) => plan(c, deps, c.req.param('id')));
	app.get('/v1/waves/:id', async (c) => show(c, deps, c.req.param('id')));
	app.get('/v1/waves/:id/preview', async (c) =>
		preview(c, deps, c.req.param('id')),
	);
	for (const name of commands) {
		app.post(`/v1/waves/:id/${name}`, async (c) =>
			command(c, deps, c.req.param('id'), name),
		);
	}
};
