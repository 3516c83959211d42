/** Version of the program, equal to the one in the workspace's package.json; a test compares them. */
export const VERSION = "0.1.0";
