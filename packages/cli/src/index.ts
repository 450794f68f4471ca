/** Cli */
export {};
