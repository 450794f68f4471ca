/** Daemon */
export {};
