import * as tap from 'tap';
import {
	returnedEvidence,
	createContext,
	createFacts,
	createJob,
	done,
	evacuating,
	hourMs,
	createLedgerWithLost,
	onlyWhole,
	taken,
	weights,
} from './step.test.fixture.js';
import * as waves from './index.js';

const stepTable: Array<[string, waves.WaveContext, string[]]> = [
	['evacuates a whole rack', createContext(), ['evacuate a0,a1']],
	[
		'pool without services: limited to a tenth at once, at least one',
		createContext({}, {}, {...createFacts(), servicesByPool: new Map()}),
		['evacuate a0'],
	],
	[
		'defers an instance that is not listed',
		createContext(
			{a1: done},
			{},
			createFacts({a0: {evidence: {...returnedEvidence, listed: 'absent'}}}),
		),
		['evacuate b0,b1'],
	],
	['does nothing in a planned wave', createContext({}, {state: 'planned'}), []],
	[
		'starts no evacuation in a paused wave',
		createContext({}, {state: 'paused'}),
		[],
	],
	[
		'releases evacuating instances in a paused wave',
		createContext({a0: evacuating}, {state: 'paused'}),
		['release a0'],
	],
	[
		'returns withdrawn instances in a cancelled wave',
		createContext(
			{a0: taken},
			{state: 'cancelled'},
			createFacts({a0: {state: 'returning', evidence: returnedEvidence}}),
		),
		['give-back a0'],
	],
	[
		'withdraws an empty rack as a whole',
		createContext({a0: evacuating, a1: evacuating}),
		['take a0,a1'],
	],
	[
		'waits for the job on a rack with only-whole',
		createContext(
			{a0: evacuating, a1: evacuating},
			onlyWhole,
			createFacts({a0: {jobs: [createJob('j', 0.1)]}}),
		),
		[],
	],
	[
		'withdraws the empty part of a rack with prefer-whole',
		createContext(
			{a0: evacuating, a1: evacuating},
			{},
			createFacts({a0: {jobs: [createJob('j', 0.1)]}}),
		),
		['take a1'],
	],
	[
		'starts no evacuation while losses use up the budget',
		createContext({}, {}, createFacts({}, createLedgerWithLost(['b0', 'b1']))),
		[],
	],
	[
		'defers the withdrawal while losses use up the budget',
		createContext(
			{a0: evacuating},
			{},
			createFacts({}, createLedgerWithLost(['b0', 'b1'])),
		),
		[],
	],
	[
		'releases an instance that is lost during its evacuation',
		createContext(
			{a0: evacuating},
			{},
			createFacts({}, createLedgerWithLost(['a0'])),
		),
		['release a0'],
	],
	[
		'moves a job to a maintained worker',
		createContext(
			{a0: evacuating, b0: done},
			{deadline: 2 * hourMs},
			createFacts({a0: {jobs: [createJob('j', 50)]}}),
		),
		['move j b0', 'evacuate a1'],
	],
	[
		'holds a job if no maintained worker has room',
		createContext(
			{a0: evacuating, b0: done},
			{deadline: 2 * hourMs},
			createFacts({a0: {jobs: [createJob('j', 50)]}, b0: {coresFree: 1}}),
		),
		['move j held', 'evacuate a1'],
	],
	[
		'stops a drained instance',
		createContext(
			{a0: taken, a1: done, b0: done, b1: done},
			{},
			createFacts({a0: {state: 'draining', isDrained: true}}),
		),
		['stop a0'],
	],
	[
		'waits for a drain',
		createContext(
			{a0: taken, a1: done, b0: done, b1: done},
			{},
			createFacts({a0: {state: 'draining'}}),
		),
		[],
	],
	[
		'waits while the old incarnation is listed',
		createContext(
			{a0: taken, a1: done, b0: done, b1: done},
			{},
			createFacts({a0: {state: 'away'}}),
		),
		[],
	],
	[
		'starts the return once a new incarnation is listed',
		createContext(
			{a0: taken, a1: done, b0: done, b1: done},
			{},
			createFacts({
				a0: {state: 'away', evidence: {...returnedEvidence, probesPassed: 0}},
			}),
		),
		['return a0'],
	],
	[
		'gives up on an instance that did not return in time',
		createContext(
			{a0: taken, a1: done, b0: done, b1: done},
			{},
			createFacts({a0: {state: 'away'}}),
			2 * hourMs,
		),
		['give-up a0'],
	],
	[
		'skips a lost instance at the deadline',
		createContext(
			{a0: {...taken, isLost: true}, a1: done, b0: done, b1: done},
			{deadline: hourMs},
			createFacts({a0: {state: 'away'}}),
		),
		['skip a0 did-not-return'],
	],
	[
		'skips pending instances after the deadline',
		createContext({a0: done, a1: done}, {deadline: hourMs}),
		['skip b0,b1 deadline'],
	],
	[
		'finishes once all instances are done',
		createContext({a0: done, a1: done, b0: done, b1: done}),
		['finish'],
	],
];

const formatAction = (action: waves.WaveAction): string => {
	switch (action.kind) {
		case 'move': {
			return `move ${action.job.id} ${action.to ?? 'held'}`;
		}

		case 'skip': {
			return `skip ${action.instances.join(',')} ${action.reason}`;
		}

		case 'evacuate':
		case 'release':
		case 'take': {
			return `${action.kind} ${action.instances.join(',')}`;
		}

		case 'stop':
		case 'return':
		case 'give-back':
		case 'give-up': {
			return `${action.kind} ${action.instance}`;
		}

		case 'finish': {
			return 'finish';
		}
	}
};

for (const [name, context, expected] of stepTable) {
	tap.t.test(`step: ${name}`, async (t) => {
		const actions = waves.stepWave(context, 16);
		t.same(
			actions.map((action) => formatAction(action)),
			expected,
		);
	});
}

tap.t.test(
	'defers an expensive rack until the delay has cost as much',
	async (t) => {
		const settings = {...waves.waveDefaults, weights};
		const jobs = [createJob('fixed', 6, 'none')];
		const facts = createFacts({
			a0: {jobs},
			a1: {jobs},
			b0: {jobs},
			b1: {jobs},
		});
		const startsEvacuation = (hours: number) => {
			const context = createContext({}, {settings}, facts, hours * hourMs);
			return waves.stepWave(context, 16).length > 0;
		};

		t.notOk(startsEvacuation(1));
		t.notOk(startsEvacuation(7));
		t.ok(startsEvacuation(9));
	},
);

const adviceTable: Array<[waves.MemberPhase, boolean, waves.PlacementAdvice]> =
	[
		[done, false, 'good'],
		[{kind: 'pending'}, false, 'later'],
		[{kind: 'pending'}, true, 'never'],
		[evacuating, false, 'never'],
		[taken, false, 'never'],
	];

for (const [phase, hasMoved, expected] of adviceTable) {
	tap.t.test(
		`placement advice: ${phase.kind}, moved ${hasMoved}`,
		async (t) => {
			const {progress} = createContext({a0: phase});
			t.equal(waves.getPlacementAdvice(progress, 'a0', hasMoved), expected);
		},
	);
}

tap.t.test('reserves room for a job move only once', async (t) => {
	const context = createContext(
		{b0: done},
		{},
		createFacts({b0: {coresFree: 6}}),
	);
	const job = createJob('j', 1);
	t.equal(waves.pickTarget(context, 'quote', job), 'b0');
	const {cores, memoryMb} = job;
	waves.updateJobMove(context.progress, 'j', {
		from: 'a0',
		to: 'b0',
		cores,
		memoryMb,
	});
	t.equal(waves.pickTarget(context, 'quote', job), undefined);
	waves.updateJobMove(context.progress, 'j', undefined);
	t.equal(waves.pickTarget(context, 'quote', job), 'b0');
});
