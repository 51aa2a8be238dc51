/** The administration interface. */
export {};
