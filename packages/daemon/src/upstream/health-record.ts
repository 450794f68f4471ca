/** Records the end of an attempt in the health of its executor. */
import * as core from '@gullstand/core';
import type {Attempt} from './attempt.js';
import * as probes from './probe.js';
import type {UpstreamState} from './state.js';

/** Records the end of an attempt; `isAnswer` is false for refusals. */
export const recordHealth = (
	state: UpstreamState,
	{link, startedAt}: Attempt,
	end: core.attemptOutcome.AttemptEnd,
	isAnswer: boolean,
): void => {
	const now = state.clock();
	const record = (event: core.health.HealthEvent) => {
		core.health.recordEvent(state.health, link.id, event, now);
	};

	switch (end.kind) {
		case 'answered': {
			const latencyMs = now - startedAt;
			const serverError = end.status >= 500;
			record(
				isAnswer
					? {kind: 'answered', latencyMs, serverError}
					: {kind: 'failed'},
			);
			break;
		}

		case 'broken': {
			record({kind: 'failed'});
			// A probe determines whether the executor is still reachable.
			probes.suspectConnections(state, link);
			break;
		}

		case 'connect-failed': {
			record({kind: 'unreachable'});
			break;
		}

		case 'deadline': {
			if (end.bytesSent > 0) {
				record({kind: 'failed'});
			}

			break;
		}

		case 'cancelled':
		case 'invalid-request':
		case 'no-connection': {
			break;
		}
	}
};
