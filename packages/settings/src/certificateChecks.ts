/**
 * Checks of the files that settings name as certificates, keys and authorities. Files given together are checked
 * together, and each of an incomplete group by itself.
 */
import { type CredentialPart, peerIdentity, readAuthority, readCredentials } from "@tanagerlink/certificates";
import { type Settings, settingsTable } from "./settingsTable.ts";

type SettingName = keyof Settings;
type CertificateSettingName =
    | "peerCertificate"
    | "peerKey"
    | "peerAuthority"
    | "httpCertificate"
    | "httpKey"
    | "platformAuthority";
type CertificateGroup = readonly (readonly [part: CredentialPart, name: CertificateSettingName])[];

interface CertificateFault {
    readonly name: SettingName;
    readonly reason: string;
}

const peerGroup: CertificateGroup = [
    ["certificate", "peerCertificate"],
    ["key", "peerKey"],
    ["authority", "peerAuthority"],
];
const httpGroup: CertificateGroup = [["certificate", "httpCertificate"], ["key", "httpKey"]];

/** Faults of all certificate files. The identity is checked only when its settings are valid. */
export function certificateFaults(values: Settings, invalid: ReadonlySet<SettingName>): CertificateFault[] {
    const identity = invalid.has("nodeId") || invalid.has("failureDomain")
        ? undefined
        : peerIdentity(values.failureDomain, values.nodeId);
    return [
        ...groupFaults(values, peerGroup, identity),
        ...groupFaults(values, httpGroup, undefined),
        ...authorityFaults(values.platformAuthority),
    ].filter(fault => !invalid.has(fault.name));
}

function groupFaults(values: Settings, group: CertificateGroup, identity: string | undefined): CertificateFault[] {
    const files = group.flatMap(([part, name]) => values[name] === undefined ? [] : [[part, values[name]] as const]);
    if (files.length === 0) {
        return [];
    }
    const flags = group.map(([, name]) => `--${settingsTable[name].flag}`).join(", ");
    const result = readCredentials(Object.fromEntries(files), group.map(([part]) => part), identity);
    const faults = result.match(() => [], found => found);
    return group.flatMap(([part, name]) =>
        faults.filter(fault => fault.part === part).map(({ reason }) => ({
            name,
            reason: values[name] === undefined ? `${reason}; give all of ${flags} or none` : reason,
        }))
    );
}

function authorityFaults(path: string | undefined): CertificateFault[] {
    const result = path === undefined ? undefined : readAuthority(path);
    return result?.isErr() === true ? [{ name: "platformAuthority", reason: result.error }] : [];
}
