/**
 * The layer that admits calls, one queue a service, kept up with the view.
 * It stands inside the layer of at-most-once and around dispatch.
 */
import * as core from '@gullstand/core';
import type {CallLayer} from '../caller/call.js';
import {createServiceQueue, type ServiceQueue} from './service-queue.js';

/** What the layer needs. */
export type AdmissionLayerDeps = {
	readonly getView: () => core.View;
	readonly now: () => number;
	readonly settings: Pick<
		core.admission.AdmissionSettings,
		'maxQueued' | 'transitMs'
	>;
	/** This entry's part of each contracted rate, such as 1/9. */
	readonly getShare: () => number;
	/**
	 * Requests of a service that this entry may have in flight; 0 only if no
	 * executor serves. Asked at each call and each answer.
	 */
	readonly getSlots: (service: core.Service) => number;
};

/** The layer and what operators see of it. */
export type AdmissionLayer = {
	readonly layer: CallLayer;
	readonly getStatus: () => ReadonlyMap<string, core.admission.AdmissionStatus>;
	/** Stops looking after queues; what waits is not answered any more. */
	readonly close: () => void;
};

const expireEveryMs = 5;

/** Creates the layer. */
export const createAdmissionLayer = (
	deps: AdmissionLayerDeps,
): AdmissionLayer => {
	const {getView, now, getShare, getSlots} = deps;
	const queues = new Map<string, ServiceQueue>();
	let timer: NodeJS.Timeout | undefined;
	let revision = -1;
	let share = 0;

	const update = (name: string, queue: ServiceQueue) => {
		const {contracts} = getView();
		const terms = core.admission.getTerms(contracts.values(), name);
		queue.update(terms, share);
	};

	/** Takes over a changed view or a changed number of entries. */
	const follow = () => {
		const view = getView();
		if (view.revision === revision && share === getShare()) {
			return;
		}

		revision = view.revision;
		share = getShare();
		for (const [name, queue] of queues) {
			update(name, queue);
			if (!view.services.has(name) && !queue.expire()) {
				queues.delete(name);
			}
		}
	};

	const tick = () => {
		follow();
		let isBusy = false;
		for (const queue of queues.values()) {
			isBusy = queue.expire() || isBusy;
		}

		if (!isBusy) {
			clearInterval(timer);
			timer = undefined;
		}
	};

	/** Looks after queues as long as any call waits. */
	const watch = () => {
		timer ??= setInterval(tick, expireEveryMs);
	};

	const findQueue = (name: string): ServiceQueue => {
		const known = queues.get(name);
		if (known) {
			return known;
		}

		const settings = {...core.admission.defaultSettings, ...deps.settings};
		const created = createServiceQueue(settings, {
			now,
			onWait: watch,
			getSlots() {
				const service = getView().services.get(name);
				return service ? getSlots(service) : 0;
			},
		});
		queues.set(name, created);
		update(name, created);
		return created;
	};

	const layer: CallLayer = (next) => async (call) => {
		follow();
		// Dispatch knows why there is none, and no slot is spent.
		return getSlots(call.service) === 0
			? next(call)
			: findQueue(call.service.name).run(call, next);
	};

	return {
		layer,
		getStatus: () =>
			new Map([...queues].map(([name, each]) => [name, each.getStatus()])),
		close() {
			clearInterval(timer);
			timer = undefined;
		},
	};
};
