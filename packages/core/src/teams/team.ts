/** Teams of a deployment: their keys, their share and their cap. */
import type {Resources} from '../scheduler/state/types.js';

/** A team as the configuration names it. */
export type Team = {
	readonly name: string;
	/** SHA-256 of each of its keys, in hexadecimal. */
	readonly keyHashes: readonly string[];
	/** Its share when all is full; also the jobs per second that it is owed. */
	readonly weight: number;
	/** What it may have running over all services; 0 stands for no limit. */
	readonly cap: Resources;
};
