import * as tap from 'tap';
import * as waves from './index.js';

const createWave = (state: waves.WaveState): waves.Wave => ({
	id: 'w',
	rows: 'w',
	author: 'op',
	state,
	pools: ['quote'],
	settings: waves.waveDefaults,
	createdAt: 0,
	startedAt: undefined,
	endedAt: undefined,
	deadline: 100,
	domains: 2,
	instances: 4,
});

const stateTable: Array<[waves.WaveState, waves.WaveCommand, string]> = [
	['planned', 'start', 'running'],
	['planned', 'pause', 'wrong-state'],
	['planned', 'cancel', 'cancelled'],
	['running', 'start', 'wrong-state'],
	['running', 'pause', 'paused'],
	['running', 'finish', 'done'],
	['running', 'cancel', 'cancelled'],
	['paused', 'resume', 'running'],
	['paused', 'finish', 'wrong-state'],
	['paused', 'cancel', 'cancelled'],
	['cancelled', 'resume', 'wrong-state'],
	['cancelled', 'cancel', 'wrong-state'],
	['done', 'cancel', 'wrong-state'],
	['done', 'start', 'wrong-state'],
];

for (const [state, command, expected] of stateTable) {
	tap.t.test(`a wave that is ${state}: ${command}`, async (t) => {
		const result = waves.applyWaveCommand(createWave(state), command, 7);
		t.equal(result.ok ? result.value.state : result.error.kind, expected);
	});
}
