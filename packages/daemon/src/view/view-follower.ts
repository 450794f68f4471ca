/** Follows the view by polling the revision counter. */
import {emptyView, type View} from '@gullstand/core';
import type {TableService} from '@gullstand/platform';
import type {Part} from '../supervisor/supervisor.js';
import {readRevision, readView} from './tables.js';

/** A follower and the view that it holds. */
export type ViewFollower = Part & {
	readonly getView: () => View;
	/** Polls at once, for a caller that knows of a change. */
	readonly poll: () => Promise<void>;
};

/** Creates a follower; the view is empty until the first poll. */
export const createViewFollower = (
	table: TableService,
	pollMs: number,
): ViewFollower => {
	let view = emptyView;
	let timer: NodeJS.Timeout | undefined;

	const poll = async () => {
		const revision = await readRevision(table);
		if (!revision.ok || revision.value <= view.revision) {
			return;
		}

		const read = await readView(table);
		if (read.ok && read.value.revision > view.revision) {
			view = read.value;
		}
	};

	const schedule = () => {
		timer = setTimeout(async () => {
			await poll();
			if (timer) {
				schedule();
			}
		}, pollMs);
	};

	return {
		name: 'view-follower',
		getView: () => view,
		poll,
		async start() {
			await poll();
			schedule();
		},
		async stop() {
			clearTimeout(timer);
			timer = undefined;
		},
	};
};
