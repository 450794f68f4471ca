/** Draws small bar and line charts as SVG text. */

const width = 760;

const left = 330;

const rowHeight = 34;

const barHeight = 12;

const colours = ['#4878a8', '#d08030'] as const;

const escapeText = (text: string): string =>
	text.replaceAll('&', '&amp;').replaceAll('<', '&lt;');

const createText = (
	x: number,
	y: number,
	text: string,
	anchor = 'start',
): string =>
	`<text x="${x}" y="${y}" text-anchor="${anchor}">${escapeText(text)}</text>`;

const createSvg = (height: number, parts: readonly string[]): string =>
	[
		`<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${height}" font-family="sans-serif" font-size="12">`,
		`<rect width="${width}" height="${height}" fill="white"/>`,
		...parts,
		'</svg>',
		'',
	].join('\n');

const createLegend = (
	title: string,
	names: readonly string[],
): readonly string[] => [
	createText(8, 18, title),
	...names.flatMap((name, index) => [
		`<rect x="${left + 130 * index}" y="26" width="10" height="10" fill="${colours[index] ?? 'grey'}"/>`,
		createText(left + 130 * index + 14, 35, name),
	]),
];

/** One row of bars. */
export type BarRow = {
	readonly label: string;
	/** One value per series. */
	readonly values: readonly number[];
};

/** Draws horizontal bars, one row per label; values are percentages. */
export const drawBars = (
	title: string,
	series: readonly string[],
	rows: readonly BarRow[],
): string => {
	const maxValue = Math.max(1e-9, ...rows.flatMap(({values}) => values));
	const top = 52;
	const bars = rows.flatMap(({label, values}, row) => [
		createText(left - 8, top + row * rowHeight + 15, label, 'end'),
		...values.flatMap((value, index) => {
			const y = top + row * rowHeight + index * barHeight;
			const length = ((width - left - 60) * value) / maxValue;
			return [
				`<rect x="${left}" y="${y}" width="${length.toFixed(1)}" height="${barHeight - 2}" fill="${colours[index] ?? 'grey'}"/>`,
				createText(left + length + 4, y + 9, `${value.toFixed(1)}%`),
			];
		}),
	]);
	return createSvg(top + rows.length * rowHeight + 8, [
		...createLegend(title, series),
		...bars,
	]);
};

/** A line with its points by time in seconds. */
export type Line = {
	readonly name: string;
	readonly points: ReadonlyArray<readonly [seconds: number, value: number]>;
};

const chartHeight = 300;

const margin = 40;

/** Draws lines over time with a common axis. */
export const drawLines = (title: string, lines: readonly Line[]): string => {
	const points = lines.flatMap((line) => line.points);
	const from = Math.min(...points.map(([seconds]) => seconds));
	const to = Math.max(...points.map(([seconds]) => seconds));
	const maxValue = Math.max(1, ...points.map(([, value]) => value));
	const base = chartHeight - margin;
	const toX = (seconds: number) =>
		margin +
		((width - 2 * margin) * (seconds - from)) / Math.max(1e-9, to - from);
	const toY = (value: number) => base - ((base - 60) * value) / maxValue;
	const drawn = lines.map(({points: own}, index) => {
		const path = own
			.map(
				([seconds, value]) =>
					`${toX(seconds).toFixed(1)},${toY(value).toFixed(1)}`,
			)
			.join(' ');
		return `<polyline points="${path}" fill="none" stroke="${colours[index] ?? 'grey'}" stroke-width="2"/>`;
	});
	return createSvg(chartHeight, [
		...createLegend(
			title,
			lines.map(({name}) => name),
		),
		`<line x1="${margin}" y1="${base}" x2="${width - margin}" y2="${base}" stroke="black"/>`,
		createText(margin, base + 16, `${from.toFixed(0)} s`),
		createText(width - margin, base + 16, `${to.toFixed(0)} s`, 'end'),
		createText(margin - 6, toY(maxValue) + 4, maxValue.toFixed(0), 'end'),
		createText(margin - 6, base + 4, '0', 'end'),
		...drawn,
	]);
};
