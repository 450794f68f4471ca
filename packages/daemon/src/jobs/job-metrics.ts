/** Counters, gauges and latency histograms of the jobs side. */
import type {Histogram} from 'hdr-histogram-js';
// The package's main module also loads its log writer, which is slow.
import * as hdr from 'hdr-histogram-js/dist/HistogramBuilder.js';

/** Names of the latency histograms, which are in milliseconds. */
export const histogramNames = {
	/** From the acceptance of a job to its first confirmed start. */
	firstStart: 'first_start',
	/** From the command of a start to its answer. */
	start: 'start_answer',
	/** From a caller's request to its answer. */
	call: 'call',
	/** From the acceptance of a job until its end is stored. */
	job: 'job_end',
} as const;

export type HistogramName =
	(typeof histogramNames)[keyof typeof histogramNames];

export type JobMetrics = {
	/** Increments a counter with a label, such as a queue or a kind. */
	readonly count: (name: string, label?: string) => void;
	/** Records a latency in milliseconds. */
	readonly record: (name: HistogramName, label: string, ms: number) => void;
	/** Registers a gauge that is read for each text; undefined omits it. */
	readonly registerGauge: (
		name: string,
		label: string,
		read: () => number | undefined,
	) => void;
	/** Formats all metrics in the Prometheus exposition format. */
	readonly formatText: () => string;
};

/** Further series share the label `other`, which bounds the memory. */
const maxSeries = 200;

const microsPerMs = 1000;

const maxMicros = 3_600_000_000;

const quantiles = [50, 95, 99] as const;

const createHistogram = () =>
	hdr.build({
		bitBucketSize: 32,
		autoResize: true,
		highestTrackableValue: maxMicros,
		numberOfSignificantValueDigits: 2,
	});

const formatHistogram = ([key, histogram]: readonly [string, Histogram]) => {
	const [name, label] = key.split(' ');
	const labels = `label="${label}"`;
	return [
		...quantiles.map(
			(quantile) =>
				`gullstand_${name}_ms{${labels},quantile="${quantile / 100}"} ${
					histogram.getValueAtPercentile(quantile) / microsPerMs
				}`,
		),
		`gullstand_${name}_ms_count{${labels}} ${histogram.totalCount}`,
	];
};

export const createJobMetrics = (): JobMetrics => {
	const counters = new Map<string, number>();
	const histograms = new Map<string, Histogram>();
	const gauges = new Map<string, () => number | undefined>();

	const formatGauge = ([key, read]: readonly [
		string,
		() => number | undefined,
	]) => {
		const value = read();
		return value === undefined ? [] : [`gullstand_${key} ${value}`];
	};

	const getHistogram = (name: HistogramName, label: string): Histogram => {
		const wanted = `${name} ${label}`;
		const key =
			histograms.has(wanted) || histograms.size < maxSeries
				? wanted
				: `${name} other`;
		const known = histograms.get(key) ?? createHistogram();
		histograms.set(key, known);
		return known;
	};

	return {
		count(name, label = '') {
			const wanted = `${name}{label="${label}"}`;
			const key =
				counters.has(wanted) || counters.size < maxSeries
					? wanted
					: `${name}{label="other"}`;
			counters.set(key, (counters.get(key) ?? 0) + 1);
		},
		record(name, label, ms) {
			const micros = Math.round(Math.max(0, ms) * microsPerMs);
			const bounded = Math.min(maxMicros, Math.max(1, micros));
			getHistogram(name, label).recordValue(bounded);
		},
		registerGauge(name, label, read) {
			gauges.set(`${name}{label="${label}"}`, read);
		},
		formatText: () =>
			[
				...[...gauges].flatMap((each) => formatGauge(each)),
				...[...counters].map(([key, value]) => `gullstand_${key} ${value}`),
				...[...histograms].flatMap((each) => formatHistogram(each)),
			].join('\n') + '\n',
	};
};
