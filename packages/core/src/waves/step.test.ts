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
	['a whole rack is begun', createContext(), ['evacuate a0,a1']],
	[
		'a pool without services: a tenth at once, at least one',
		createContext({}, {}, {...createFacts(), servicesByPool: new Map()}),
		['evacuate a0'],
	],
	[
		'an instance that the list does not show is left for later',
		createContext(
			{a1: done},
			{},
			createFacts({a0: {evidence: {...returnedEvidence, listed: 'absent'}}}),
		),
		['evacuate b0,b1'],
	],
	['a planned wave does nothing', createContext({}, {state: 'planned'}), []],
	['a paused wave begins nothing', createContext({}, {state: 'paused'}), []],
	[
		'a paused wave lets go of what still serves',
		createContext({a0: evacuating}, {state: 'paused'}),
		['release a0'],
	],
	[
		'a cancelled wave brings back what is away',
		createContext(
			{a0: taken},
			{state: 'cancelled'},
			createFacts({a0: {state: 'returning', evidence: returnedEvidence}}),
		),
		['give-back a0'],
	],
	[
		'an empty rack is taken whole',
		createContext({a0: evacuating, a1: evacuating}),
		['take a0,a1'],
	],
	[
		'a rack with a job waits for it, if only whole racks are taken',
		createContext(
			{a0: evacuating, a1: evacuating},
			onlyWhole,
			createFacts({a0: {jobs: [createJob('j', 0.1)]}}),
		),
		[],
	],
	[
		'else what is empty is taken',
		createContext(
			{a0: evacuating, a1: evacuating},
			{},
			createFacts({a0: {jobs: [createJob('j', 0.1)]}}),
		),
		['take a1'],
	],
	[
		'loss uses the budget: nothing is begun',
		createContext({}, {}, createFacts({}, createLedgerWithLost(['b0', 'b1']))),
		[],
	],
	[
		'loss after the emptying began: the take waits',
		createContext(
			{a0: evacuating},
			{},
			createFacts({}, createLedgerWithLost(['b0', 'b1'])),
		),
		[],
	],
	[
		'one that is lost while it is emptied is let go',
		createContext(
			{a0: evacuating},
			{},
			createFacts({}, createLedgerWithLost(['a0'])),
		),
		['release a0'],
	],
	[
		'a job moves to a worker that is done',
		createContext(
			{a0: evacuating, b0: done},
			{deadline: 2 * hourMs},
			createFacts({a0: {jobs: [createJob('j', 50)]}}),
		),
		['move j b0', 'evacuate a1'],
	],
	[
		'a job is held if no worker that is done has room',
		createContext(
			{a0: evacuating, b0: done},
			{deadline: 2 * hourMs},
			createFacts({a0: {jobs: [createJob('j', 50)]}, b0: {coresFree: 1}}),
		),
		['move j held', 'evacuate a1'],
	],
	[
		'drained: it is stopped',
		createContext(
			{a0: taken, a1: done, b0: done, b1: done},
			{},
			createFacts({a0: {state: 'draining', isDrained: true}}),
		),
		['stop a0'],
	],
	[
		'not drained: it is waited for',
		createContext(
			{a0: taken, a1: done, b0: done, b1: done},
			{},
			createFacts({a0: {state: 'draining'}}),
		),
		[],
	],
	[
		'listed in its old life: still away',
		createContext(
			{a0: taken, a1: done, b0: done, b1: done},
			{},
			createFacts({a0: {state: 'away'}}),
		),
		[],
	],
	[
		'listed in a new life: it returns',
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
		'not back in time: it counts as lost',
		createContext(
			{a0: taken, a1: done, b0: done, b1: done},
			{},
			createFacts({a0: {state: 'away'}}),
			2 * hourMs,
		),
		['give-up a0'],
	],
	[
		'lost at the deadline: left out',
		createContext(
			{a0: {...taken, isLost: true}, a1: done, b0: done, b1: done},
			{deadline: hourMs},
			createFacts({a0: {state: 'away'}}),
		),
		['skip a0 did-not-return'],
	],
	[
		'after the deadline what has not begun is left out',
		createContext({a0: done, a1: done}, {deadline: hourMs}),
		['skip b0,b1 deadline'],
	],
	[
		'all done: the wave ends',
		createContext({a0: done, a1: done, b0: done, b1: done}),
		['finish'],
	],
];

const printAction = (action: waves.WaveAction): string => {
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
			actions.map((action) => printAction(action)),
			expected,
		);
	});
}

tap.t.test(
	'a dear rack is put off until the delay has cost as much',
	async (t) => {
		const settings = {...waves.waveDefaults, weights};
		const jobs = [createJob('fixed', 6, 'none')];
		const facts = createFacts({
			a0: {jobs},
			a1: {jobs},
			b0: {jobs},
			b1: {jobs},
		});
		const begins = (hours: number) => {
			const context = createContext({}, {settings}, facts, hours * hourMs);
			return waves.stepWave(context, 16).length > 0;
		};

		t.notOk(begins(1));
		t.notOk(begins(7));
		t.ok(begins(9));
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
	tap.t.test(`advice: ${phase.kind}, moved ${hasMoved}`, async (t) => {
		const {progress} = createContext({a0: phase});
		t.equal(waves.getPlacementAdvice(progress, 'a0', hasMoved), expected);
	});
}

tap.t.test(
	'room promised to a job on its way is not promised twice',
	async (t) => {
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
	},
);
