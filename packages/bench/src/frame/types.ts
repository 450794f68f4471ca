/** Form of a bench and of its result; docs/design/benches.md. */

/** Settings of one run. */
export type BenchOptions = {
	/** Seed of every random choice. */
	readonly seed: number;
	/** Ends within 40 s on one core. */
	readonly short: boolean;
	/** Prints a line of progress. */
	readonly log: (line: string) => void;
};

/** Named figures; units stand in the names. */
export type Figures = Readonly<Record<string, number | string>>;

/** How a value is held against its bound. */
export type Comparison = '<=' | '>=' | '==';

/** One bound that an issue asked for. */
export type Check = {
	readonly name: string;
	readonly value: number;
	readonly bound: string;
	readonly holds: boolean;
};

/** What a bench measured. */
export type BenchResult = {
	readonly figures: Figures;
	readonly baselines: Readonly<Record<string, Figures>>;
	readonly checks: readonly Check[];
};

/** One bench. */
export type Bench = {
	readonly name: string;
	readonly summary: string;
	readonly run: (options: BenchOptions) => Promise<BenchResult>;
};
