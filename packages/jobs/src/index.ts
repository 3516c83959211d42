/** Job records in the platform's table: durable acceptance, group commit, idempotent submissions and recovery. */
export {};
