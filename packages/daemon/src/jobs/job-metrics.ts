/** Counters and latency histograms of the jobs side, as text. */
import type {Histogram} from 'hdr-histogram-js';
// The package's main module loads its log writer, too, which is slow.
import * as hdr from 'hdr-histogram-js/dist/HistogramBuilder.js';

/** Histograms kept; times in milliseconds. */
export const histogramNames = {
	/** From the acceptance of a job to its first start that was confirmed. */
	firstStart: 'first_start',
	/** From the order of a start to its answer. */
	start: 'start_answer',
	/** A call of a caller, from its arrival to its answer. */
	call: 'call',
	/** From the acceptance of a job to the store of its end. */
	job: 'job_end',
} as const;

/** Name of a histogram. */
export type HistogramName =
	(typeof histogramNames)[keyof typeof histogramNames];

/** Metrics of one daemon. */
export type JobMetrics = {
	/** Adds one to a counter with a label, such as a queue or a kind. */
	readonly count: (name: string, label?: string) => void;
	readonly record: (leg: HistogramName, label: string, ms: number) => void;
	/** Shows a figure as it is when the text is asked for; absent is left out. */
	readonly registerGauge: (
		name: string,
		label: string,
		read: () => number | undefined,
	) => void;
	/** Text in the Prometheus exposition format. */
	readonly formatText: () => string;
};

/** Series beyond this share one label, so that memory stays bounded. */
const maxSeries = 200;

const microsPerMs = 1000;

const highestMicros = 3_600_000_000;

const quantiles = [50, 95, 99] as const;

const createHistogram = () =>
	hdr.build({
		bitBucketSize: 32,
		autoResize: true,
		highestTrackableValue: highestMicros,
		numberOfSignificantValueDigits: 2,
	});

const formatHistogram = ([key, histogram]: readonly [string, Histogram]) => {
	const [leg, label] = key.split(' ');
	const labels = `label="${label}"`;
	return [
		...quantiles.map(
			(quantile) =>
				`gullstand_${leg}_ms{${labels},quantile="${quantile / 100}"} ${
					histogram.getValueAtPercentile(quantile) / microsPerMs
				}`,
		),
		`gullstand_${leg}_ms_count{${labels}} ${histogram.totalCount}`,
	];
};

/** Creates empty metrics. */
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

	const getHistogram = (leg: HistogramName, label: string): Histogram => {
		const wanted = `${leg} ${label}`;
		const key =
			histograms.has(wanted) || histograms.size < maxSeries
				? wanted
				: `${leg} other`;
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
		record(leg, label, ms) {
			const micros = Math.round(Math.max(0, ms) * microsPerMs);
			const bounded = Math.min(highestMicros, Math.max(1, micros));
			getHistogram(leg, label).recordValue(bounded);
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
