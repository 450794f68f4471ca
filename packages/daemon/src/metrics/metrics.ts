/**
 * Histograms of answer times by customer, service and class, with counts by
 * outcome and error kind. Beyond `maxSeries` series, customers and services
 * are recorded as `other`.
 */
import type {Histogram} from 'hdr-histogram-js';
// The main module also loads the package's log writer, which is slow.
import * as hdr from 'hdr-histogram-js/dist/HistogramBuilder.js';
import type {errors, Outcome, RequestClass} from '@gullstand/core';

/** Measurements of one answered request. */
export type AnswerRecord = {
	readonly customer: string;
	readonly service: string;
	readonly requestClass: RequestClass;
	readonly outcome: Outcome;
	/** Absent if the caller got an executor's answer. */
	readonly errorKind?: errors.ErrorKind;
	readonly late: boolean;
	readonly durationMs: number;
};

type Series = {
	readonly customer: string;
	readonly service: string;
	readonly requestClass: RequestClass;
	readonly histogram: Histogram;
	readonly counts: Map<string, number>;
};

/** Percentiles and counts of one series; times in milliseconds. */
export type SeriesSummary = {
	readonly customer: string;
	readonly service: string;
	readonly requestClass: RequestClass;
	readonly answers: number;
	readonly p50Ms: number;
	readonly p99Ms: number;
	readonly maxMs: number;
	readonly counts: Readonly<Record<string, number>>;
};

/** Metrics of one daemon. */
export type Metrics = {
	readonly recordAnswer: (record: AnswerRecord) => void;
	readonly getSummaries: () => readonly SeriesSummary[];
	/** Text in the Prometheus exposition format. */
	readonly formatText: () => string;
};

const maxSeries = 500;

const microsPerMs = 1000;

const highestMicros = 3_600_000_000;

const quantiles = [50, 90, 99, 99.9] as const;

const createHistogram = () =>
	hdr.build({
		bitBucketSize: 32,
		autoResize: true,
		highestTrackableValue: highestMicros,
		numberOfSignificantValueDigits: 2,
	});

const addCount = (counts: Map<string, number>, name: string) => {
	counts.set(name, (counts.get(name) ?? 0) + 1);
};

const toMs = (micros: number): number => micros / microsPerMs;

const summarize = (series: Series): SeriesSummary => ({
	customer: series.customer,
	service: series.service,
	requestClass: series.requestClass,
	answers: series.histogram.totalCount,
	p50Ms: toMs(series.histogram.getValueAtPercentile(50)),
	p99Ms: toMs(series.histogram.getValueAtPercentile(99)),
	maxMs: toMs(series.histogram.maxValue),
	counts: Object.fromEntries(series.counts),
});

const formatSeries = (series: Series): string[] => {
	const labels = `customer="${series.customer}",service="${series.service}",class="${series.requestClass}"`;
	const times = quantiles.map((quantile) => {
		const value = series.histogram.getValueAtPercentile(quantile);
		return `gullstand_answer_seconds{${labels},quantile="${quantile / 100}"} ${toMs(value) / 1000}`;
	});
	const counts = [...series.counts].map(
		([name, count]) => `gullstand_answers{${labels},result="${name}"} ${count}`,
	);
	return [
		...times,
		`gullstand_answer_seconds_count{${labels}} ${series.histogram.totalCount}`,
		...counts,
	];
};

/** Creates empty metrics. */
export const createMetrics = (): Metrics => {
	const all = new Map<string, Series>();

	const getSeries = (record: AnswerRecord): Series => {
		const {requestClass} = record;
		const key = `${record.customer} ${record.service} ${requestClass}`;
		const known = all.get(key);
		if (known) {
			return known;
		}

		const isFull = all.size >= maxSeries;
		const customer = isFull ? 'other' : record.customer;
		const service = isFull ? 'other' : record.service;
		const otherKey = `${customer} ${service} ${requestClass}`;
		const series = all.get(otherKey) ?? {
			customer,
			service,
			requestClass,
			histogram: createHistogram(),
			counts: new Map<string, number>(),
		};
		all.set(otherKey, series);
		return series;
	};

	const recordAnswer = (record: AnswerRecord) => {
		const series = getSeries(record);
		const micros = Math.round(record.durationMs * microsPerMs);
		series.histogram.recordValue(Math.min(highestMicros, Math.max(1, micros)));
		addCount(series.counts, record.outcome);
		if (record.errorKind) {
			addCount(series.counts, record.errorKind);
		}

		if (record.late) {
			addCount(series.counts, 'late');
		}
	};

	return {
		recordAnswer,
		getSummaries: () => [...all.values()].map((each) => summarize(each)),
		formatText: () =>
			[...all.values()].flatMap((each) => formatSeries(each)).join('\n') + '\n',
	};
};
