/**
 * Call layer for admission with one queue per service of the view. It runs
 * inside the idempotency layer and wraps dispatch.
 */
import * as core from '@gullstand/core';
import type {CallLayer} from '../caller/call.js';
import {createServiceQueue, type ServiceQueue} from './service-queue.js';

/** Dependencies of the layer. */
export type AdmissionLayerDeps = {
	readonly getView: () => core.View;
	readonly now: () => number;
	readonly settings: Pick<
		core.admission.AdmissionSettings,
		'maxQueued' | 'transitMs'
	>;
	/** Fraction of each contracted rate that this entry admits, such as 1/9. */
	readonly getShare: () => number;
	/**
	 * Requests of a service that this entry may have in flight; 0 only if no
	 * executor serves. Called for each call and each answer.
	 */
	readonly getSlots: (service: core.Service) => number;
};

/** The layer and its status for operators. */
export type AdmissionLayer = {
	readonly layer: CallLayer;
	readonly getStatus: () => ReadonlyMap<string, core.admission.AdmissionStatus>;
	/** Stops the timer; waiting calls no longer expire. */
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

	const updateTerms = (name: string, queue: ServiceQueue) => {
		const {contracts} = getView();
		const terms = core.admission.getTerms(contracts.values(), name);
		queue.update(terms, share);
	};

	/** Applies a changed view or a changed share to all queues. */
	const applyChanges = () => {
		const view = getView();
		if (view.revision === revision && share === getShare()) {
			return;
		}

		revision = view.revision;
		share = getShare();
		for (const [name, queue] of queues) {
			updateTerms(name, queue);
			if (!view.services.has(name) && !queue.expire()) {
				queues.delete(name);
			}
		}
	};

	const expireQueues = () => {
		applyChanges();
		let isBusy = false;
		for (const queue of queues.values()) {
			isBusy = queue.expire() || isBusy;
		}

		if (!isBusy) {
			clearInterval(timer);
			timer = undefined;
		}
	};

	/** Expires queued calls periodically while any call waits. */
	const startTimer = () => {
		timer ??= setInterval(expireQueues, expireEveryMs);
	};

	const findQueue = (name: string): ServiceQueue => {
		const known = queues.get(name);
		if (known) {
			return known;
		}

		const settings = {...core.admission.defaultSettings, ...deps.settings};
		const created = createServiceQueue(settings, {
			now,
			onWait: startTimer,
			getSlots() {
				const service = getView().services.get(name);
				return service ? getSlots(service) : 0;
			},
		});
		queues.set(name, created);
		updateTerms(name, created);
		return created;
	};

	const layer: CallLayer = (next) => async (call) => {
		applyChanges();
		// Without executors, dispatch returns the error and needs no slot.
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
