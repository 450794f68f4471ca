/** Reads the registered entries from the table service. */
import * as core from '@gullstand/core';
import type {registration, Result, StoreWrite} from '@gullstand/core';
import type {StoreError, TableService, Write} from '@gullstand/ports';
import {z} from 'zod';

/** A registration and the version of its row. */
export type ReadRegistration = {
	readonly value: registration.Registration;
	readonly version: number;
};

/** A registration and the id of the operation that wrote it. */
export type OwnRegistration = ReadRegistration & {
	readonly operationId: string;
};

/** The registered entries, by name. */
export type MembershipRows = {
	/** Version of the membership row, read before the registrations. */
	readonly version: number;
	readonly registrations: ReadonlyMap<string, ReadRegistration>;
};

/** Schema of an acknowledgement, from a row or a peer. */
export const acknowledgementSchema = z.object({
	entry: z.string().min(1),
	incarnation: z.string().min(1),
	sequence: z.int().min(0),
	inForce: z.int().min(0),
	holding: z.array(z.string()),
});

const registrationSchema = z.object({
	address: z.string(),
	availabilityZone: z.string(),
	acknowledged: acknowledgementSchema,
	upMs: z.number(),
	heard: z.array(z.string()),
	quorum: z.array(z.string()),
});

const pageSize = 500;

/** Converts writes of the core to those of the table service. */
export const toWrites = (
	writes: ReadonlyArray<StoreWrite<unknown>>,
): readonly Write[] => writes as readonly Write[];

/** Reads one registration; undefined if there is none. */
export const readRegistration = async (
	table: TableService,
	entry: string,
): Promise<Result<OwnRegistration | undefined, StoreError>> => {
	const row = await table.get(core.agreementTables.entry, entry);
	if (!row.ok) {
		return row;
	}

	const parsed = registrationSchema.safeParse(row.value?.value);
	return core.succeed(
		row.value && parsed.success
			? {
					value: parsed.data,
					version: row.value.version,
					operationId: row.value.operationId,
				}
			: undefined,
	);
};

/** Reads the version of the set of registered entries; 0 without a row. */
export const readMembershipVersion = async (
	table: TableService,
): Promise<Result<number, StoreError>> => {
	const {membership} = core.agreementTables;
	const row = await table.get(membership, core.singleRowKey);
	return row.ok ? core.succeed(row.value?.version ?? 0) : row;
};

/** Reads the membership row, then every registration. */
export const readMembership = async (
	table: TableService,
): Promise<Result<MembershipRows, StoreError>> => {
	const {entry} = core.agreementTables;
	const version = await readMembershipVersion(table);
	if (!version.ok) {
		return version;
	}

	const registrations = new Map<string, ReadRegistration>();
	let after = '';
	for (;;) {
		const page = await table.range({
			table: entry,
			prefix: '',
			after,
			limit: pageSize,
		});
		if (!page.ok) {
			return page;
		}

		for (const row of page.value) {
			const value = registrationSchema.parse(row.value);
			registrations.set(row.key, {value, version: row.version});
		}

		if (page.value.length < pageSize) {
			return core.succeed({version: version.value, registrations});
		}

		after = page.value.at(-1)!.key;
	}
};
