/** Stand-in */
export {};
