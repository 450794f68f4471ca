/** The list of benches; `npm run bench -- list` prints it. */
import type {Bench} from './frame/types.js';

/** Loads one bench only when it is run. */
export const benches: Readonly<Record<string, () => Promise<Bench>>> = {};
