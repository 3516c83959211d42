/**
 * Checks the certificate, key and authority files named in the settings. The files of a complete group are checked
 * together, those of an incomplete group individually.
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

/** Finds the faults of all certificate files. The identity is checked only if its settings are valid. */
export function findCertificateFaults(values: Settings, invalid: ReadonlySet<SettingName>): CertificateFault[] {
    const identity = invalid.has("nodeId") || invalid.has("failureDomain")
        ? undefined
        : peerIdentity(values.failureDomain, values.nodeId);
    return [
        ...findGroupFaults(values, peerGroup, identity),
        ...findGroupFaults(values, httpGroup, undefined),
        ...findAuthorityFaults(values.platformAuthority),
    ].filter(fault => !invalid.has(fault.name));
}

function findGroupFaults(values: Settings, group: CertificateGroup, identity: string | undefined): CertificateFault[] {
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

function findAuthorityFaults(path: string | undefined): CertificateFault[] {
    const result = path === undefined ? undefined : readAuthority(path);
    return result?.isErr() === true ? [{ name: "platformAuthority", reason: result.error }] : [];
}
