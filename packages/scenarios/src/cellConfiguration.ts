/** The configuration folder of a test cell, and the calls with which operators read and apply a configuration. */
import { generateKey } from "@tanagerlink/admission";
import * as z from "zod";
import { OPERATOR_TOKEN } from "./cell.ts";
import { cellRequest } from "./cellCertificates.ts";
import type { OperatorChange, Scenario } from "./language.ts";

const ANSWER_TIMEOUT_MILLISECONDS = 15_000;

export interface ConfigurationFileText {
    readonly name: string;
    readonly text: string;
}

interface KeyState {
    readonly team: string;
    readonly salt: string;
    readonly hash: string;
    revoked: boolean;
}

/** Content of the configuration folder, and the secrets of its keys. */
export class CellConfiguration {
    readonly secrets = new Map<string, string>();
    private readonly scenario: Scenario;
    private readonly keys: Record<string, KeyState> = {};
    private teams: Record<string, { "share": number; "upper-limit": number; "enforce": string; }>;
    private domains: Record<string, { region: string; state: string; shards: number; }>;

    private constructor(scenario: Scenario) {
        this.scenario = scenario;
        this.teams = Object.fromEntries(
            Object.entries(scenario.teams).map(([name, limit]) => [
                name,
                { "share": 1, "upper-limit": limit, "enforce": "starts" },
            ]),
        );
        this.domains = Object.fromEntries(
            scenario.cell.domains.map(name => [name, { region: "test", state: "active", shards: 2 }]),
        );
    }

    static async create(scenario: Scenario): Promise<CellConfiguration> {
        const configuration = new CellConfiguration(scenario);
        const teamKeys = Object.keys(scenario.teams).map(team => [team, team] as const);
        for (const [id, team] of [...teamKeys, ...Object.entries(scenario.keys)]) {
            const { key, salt, hash } = (await generateKey(id))._unsafeUnwrap();
            configuration.secrets.set(id, key);
            configuration.keys[id] = { team, salt, hash, revoked: false };
        }
        return configuration;
    }

    applyChange({ limit, enforce, revoke, domain }: OperatorChange): void {
        for (const [team, units] of Object.entries(limit ?? {})) {
            this.teams[team] = { "share": 1, "upper-limit": units, "enforce": enforce ?? "starts" };
        }
        const key = revoke === undefined ? undefined : this.keys[revoke];
        if (key !== undefined) {
            key.revoked = true;
        }
        if (domain !== undefined) {
            this.domains[domain.name] = { region: "test", state: domain.state, shards: 2 };
        }
    }

    /** Returns an independent copy, because each of two operators edits a folder of their own. */
    copy(): CellConfiguration {
        const copy = new CellConfiguration(this.scenario);
        copy.teams = structuredClone(this.teams);
        copy.domains = structuredClone(this.domains);
        for (const [id, state] of Object.entries(this.keys)) {
            copy.keys[id] = { ...state };
            copy.secrets.set(id, this.secrets.get(id) ?? "");
        }
        return copy;
    }

    /** Files of the folder. They contain JSON, which is valid YAML. */
    files(): ConfigurationFileText[] {
        const queues = {
            urgent: { "work-class": "urgent" },
            batch: { "work-class": "batch" },
            service: { "work-class": "service" },
            open: { "work-class": "batch", "open": true },
        };
        const services = { records: { "queue": "urgent", "deadline-milliseconds": 20_000 } };
        const file = (name: string, content: unknown): ConfigurationFileText => ({
            name,
            text: `${JSON.stringify(content, undefined, 2)}\n`,
        });
        return [
            file("10-domains.yaml", { domains: this.domains }),
            file("20-teams.yaml", { teams: this.teams }),
            file("30-queues.yaml", { queues, services }),
            file("50-keys.yaml", { keys: this.keys }),
        ];
    }
}

const versionSchema = z.looseObject({ version: z.int() });

/** Reads the version that is in force in the process at `url`. */
export async function readVersion(url: string): Promise<number> {
    const response = await cellRequest(`${url}/operator/configuration`, {
        headers: { authorization: `Bearer ${OPERATOR_TOKEN}` },
        headersTimeout: ANSWER_TIMEOUT_MILLISECONDS,
        reset: true,
    });
    return versionSchema.parse(await response.body.json()).version;
}

/** Applies the files through the process at `url`; returns status and answer. */
export async function applyFiles(
    url: string,
    files: readonly ConfigurationFileText[],
    expectedVersion: number,
    operator: string,
): Promise<{ readonly status: number; readonly answer: string; }> {
    const response = await cellRequest(`${url}/operator/configuration`, {
        method: "POST",
        headers: { "authorization": `Bearer ${OPERATOR_TOKEN}`, "content-type": "application/json" },
        body: JSON.stringify({ files, expectedVersion, operator }),
        headersTimeout: ANSWER_TIMEOUT_MILLISECONDS,
        reset: true,
    });
    return { status: response.statusCode, answer: await response.body.text() };
}
